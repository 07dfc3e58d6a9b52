package listener

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/sealer"
	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// pipe is a connection between an entry and a fake sidecar that replies to pushes.
type pipe struct {
	net.PacketConn
	in    chan []byte
	reply func(datagram []byte) [][]byte
}

func (p *pipe) WriteTo(datagram []byte, _ net.Addr) (int, error) {
	for _, d := range p.reply(datagram) {
		p.in <- d
	}
	return len(datagram), nil
}

func (p *pipe) ReadFrom(buffer []byte) (int, net.Addr, error) {
	d, open := <-p.in
	if !open {
		return 0, nil, net.ErrClosed
	}
	return copy(buffer, d), &net.UDPAddr{}, nil
}

// replyToPush returns the reply of a sidecar with the given key to a push, nil if
// the datagram is not a push.
func replyToPush(t *testing.T, s *sender, key, datagram []byte) []byte {
	t.Helper()
	body, err := sealer.Open(s.pass.GetKey(), sealer.Push, datagram)
	push := &wire.DirectPush{}
	if err != nil || proto.Unmarshal(body, push) != nil {
		return nil
	}
	reply, err := proto.Marshal(&wire.DirectReply{Serial: push.GetSerial(), Sequence: push.GetBatch().GetSequence()})
	if err != nil {
		t.Fatal(err)
	}
	return sealer.Seal(key, sealer.PushAck, s.pass.GetSession(), reply)
}

func TestPush(t *testing.T) {
	large := &wire.Batch{Sequence: 8, Changes: []*wire.Change{{Key: string(make([]byte, 2*sealer.MaxDatagram))}}}
	small := &wire.Batch{Sequence: 8}
	for name, test := range map[string]struct {
		batch    *wire.Batch
		boot     uint64
		reply    func(reply []byte) [][]byte // datagrams that arrive instead of the sidecar's reply
		forge    bool
		answered bool
	}{
		"replied to":               {batch: small, boot: 1, reply: func(a []byte) [][]byte { return [][]byte{a} }, answered: true},
		"the reply is repeated":    {batch: small, boot: 1, reply: func(a []byte) [][]byte { return [][]byte{a, a} }, answered: true},
		"the reply is lost":        {batch: small, boot: 1, reply: func([]byte) [][]byte { return nil }},
		"the reply is forged":      {batch: small, boot: 1, reply: func(a []byte) [][]byte { return [][]byte{a} }, forge: true},
		"another boot":             {batch: small, boot: 2, reply: func(a []byte) [][]byte { return [][]byte{a} }},
		"too large for a datagram": {batch: large, boot: 1, reply: func(a []byte) [][]byte { return [][]byte{a} }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture()
				s := b.call("s", 1)
				key := s.pass.GetKey()
				if test.forge {
					key = sealer.NewKey()
				}
				p := &pipe{in: make(chan []byte, 8)}
				p.reply = func(d []byte) [][]byte {
					if a := replyToPush(t, s, key, d); a != nil {
						return test.reply(a)
					}
					return nil // the reply to a heartbeat
				}
				go b.Serve(p)
				_, answered := b.Push(context.Background(), "s", 1, small)
				is.True(!answered) // the address is not known before the first datagram
				p.in <- s.beat(2, nil)
				synctest.Wait()
				sequence, answered := b.Push(context.Background(), "s", test.boot, test.batch)
				is.Equal(answered, test.answered)
				if answered {
					is.Equal(sequence, uint64(8))
				}
				close(p.in)
			})
		})
	}
}

// TestUnansweredPushesStop checks that no further push is sent as a datagram to a
// sidecar that left several unanswered, until its next session.
func TestUnansweredPushesStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture()
		s := b.call("s", 1)
		p := &pipe{in: make(chan []byte, 8)}
		p.reply = func([]byte) [][]byte { return nil }
		go b.Serve(p)
		p.in <- s.beat(2, nil)
		synctest.Wait()
		start := time.Now()
		for range 10 {
			b.Push(context.Background(), "s", 1, &wire.Batch{Sequence: 8})
		}
		is.Equal(time.Since(start), maxUnanswered*pushTimeout)
		is.Equal(b.Counts().Unanswered.Load(), int64(maxUnanswered))
		close(p.in)
	})
}
