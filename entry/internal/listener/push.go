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

// Limits on pushes.
const (
	pushTimeout   = 250 * time.Millisecond // until the push is sent as a call instead
	maxUnanswered = 3                      // consecutive unanswered pushes; later ones are calls until the next session
)

// push is one push to a sidecar as a datagram.
type push struct {
	session *session
	serial  uint64
	conn    net.PacketConn
	address net.Addr
	reply   chan *wire.DirectReply
}

// Push sends changes as a datagram to one boot of a sidecar that sends its
// heartbeats to this entry as datagrams, and returns the sequence number of the
// sidecar's configuration afterwards. It returns false if the changes must be sent
// as a call: there is no such session, the changes are too large, or no reply
// came. Sending a push again after its reply was lost is harmless.
func (l *Listener) Push(ctx context.Context, server string, boot uint64, batch *wire.Batch) (uint64, bool) {
	p := l.startPush(server, boot)
	if p == nil {
		return 0, false
	}
	reply := p.send(ctx, batch)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, p.serial)
	if reply == nil {
		p.session.unanswered++
		l.counts.Unanswered.Add(1)
		return 0, false
	}
	p.session.unanswered = 0
	l.counts.Pushes.Add(1)
	return reply.GetSequence(), true
}

// startPush registers a push, so that its reply can be delivered. It returns nil
// if the sidecar can't be reached by datagram.
func (l *Listener) startPush(server string, boot uint64) *push {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil || s.base.GetBoot() != boot || s.address == nil || l.conn == nil || s.unanswered >= maxUnanswered {
		return nil
	}
	l.lastPush++
	p := &push{session: s, serial: l.lastPush, conn: l.conn, address: s.address, reply: make(chan *wire.DirectReply, 1)}
	l.pending[p.serial] = p.reply
	return p
}

// send sends the push and waits for its reply. It returns nil if none arrives.
func (p *push) send(ctx context.Context, batch *wire.Batch) *wire.DirectReply {
	body, err := proto.Marshal(&wire.DirectPush{Serial: p.serial, Batch: batch})
	if err != nil || len(body)+sealer.Overhead > sealer.MaxDatagram {
		return nil
	}
	n, err := p.conn.WriteTo(sealer.Seal(p.session.key, sealer.Push, p.session.id, body), p.address)
	if err != nil {
		return nil
	}
	certifier.AddInternalBytes(n + headerBytes)
	t := time.NewTimer(pushTimeout)
	defer t.Stop()
	select {
	case reply := <-p.reply:
		return reply
	case <-t.C:
	case <-ctx.Done():
	}
	return nil
}

// deliver reports whether a datagram is a sidecar's reply to a push, and passes
// the reply to the waiting Push. The caller holds the lock.
func (l *Listener) deliver(s *session, datagram []byte) bool {
	body, err := sealer.Open(s.key, sealer.PushAck, datagram)
	reply := &wire.DirectReply{}
	if err != nil || proto.Unmarshal(body, reply) != nil {
		return false
	}
	if waiting := l.pending[reply.GetSerial()]; waiting != nil {
		delete(l.pending, reply.GetSerial())
		waiting <- reply
	}
	return true
}
