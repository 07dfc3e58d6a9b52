package listener

import (
	"context"
	"net"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/sealer"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// Bounds of pushes.
const (
	pushLimit = 250 * time.Millisecond // until the push goes as a call
	deafMost  = 3                      // in a row without an answer, then calls until the next session
)

// push is one datagram to a sidecar.
type push struct {
	session *session
	serial  uint64
	conn    net.PacketConn
	to      net.Addr
	answer  chan *wire.DirectReply
}

// Push delivers changes to one boot of a sidecar that sends its heartbeats here
// as datagrams, and returns the sequence number in force there. It reports false
// if the changes must go as a call: no session, too many bytes, or no answer. A
// push that was taken though its answer was lost does no harm when it comes
// again.
func (l *Listener) Push(ctx context.Context, server string, boot uint64, batch *wire.Batch) (uint64, bool) {
	p := l.start(server, boot)
	if p == nil {
		return 0, false
	}
	reply := p.send(ctx, batch)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pushed, p.serial)
	if reply == nil {
		p.session.deaf++
		l.counts.Unanswered.Add(1)
		return 0, false
	}
	p.session.deaf = 0
	l.counts.Pushes.Add(1)
	return reply.GetSequence(), true
}

// start notes a push under way; it is nil if there can be none.
func (l *Listener) start(server string, boot uint64) *push {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil || s.base.GetBoot() != boot || s.from == nil || l.conn == nil || s.deaf >= deafMost {
		return nil
	}
	l.pushes++
	p := &push{session: s, serial: l.pushes, conn: l.conn, to: s.from, answer: make(chan *wire.DirectReply, 1)}
	l.pushed[p.serial] = p.answer
	return p
}

// send sends a push and waits for its answer, nil if none comes.
func (p *push) send(ctx context.Context, batch *wire.Batch) *wire.DirectReply {
	body, err := proto.Marshal(&wire.DirectPush{Serial: p.serial, Batch: batch})
	if err != nil || len(body)+sealer.Overhead > sealer.MaxDatagram {
		return nil
	}
	n, err := p.conn.WriteTo(sealer.Seal(p.session.key, sealer.Push, p.session.id, body), p.to)
	if err != nil {
		return nil
	}
	certifier.AddInternalBytes(n + headerBytes)
	t := time.NewTimer(pushLimit)
	defer t.Stop()
	select {
	case reply := <-p.answer:
		return reply
	case <-t.C:
	case <-ctx.Done():
	}
	return nil
}

// took reports whether a datagram is a sidecar's answer to a push, and gives it
// to who waits for it; the lock is held.
func (l *Listener) took(s *session, datagram []byte) bool {
	body, err := sealer.Open(s.key, sealer.PushAck, datagram)
	reply := &wire.DirectReply{}
	if err != nil || proto.Unmarshal(body, reply) != nil {
		return false
	}
	if answer := l.pushed[reply.GetSerial()]; answer != nil {
		delete(l.pushed, reply.GetSerial())
		answer <- reply
	}
	return true
}
