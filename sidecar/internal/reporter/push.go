package reporter

import (
	"net"

	"bamboohill/core/certifier"
	"bamboohill/core/sealer"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// receive handles datagrams from entries until the connection is closed.
func (r *Reporter) receive(conn net.PacketConn) {
	buffer := make([]byte, sealer.MaxDatagram+1)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if r.acks.deliver(buffer[:n]) {
			continue
		}
		if p, push := r.openPush(buffer[:n]); push != nil {
			certifier.AddInternalBytes(n + headerBytes)
			go r.handlePush(conn, from, p, push)
		}
	}
}

// openPush decrypts a push and returns it with the pass of its session. It
// returns nil if the datagram is not a valid push in the session of a known
// entry, or if pushes are not handled.
func (r *Reporter) openPush(datagram []byte) (*pass, *wire.DirectPush) {
	p := r.passOf(datagram)
	if p == nil || r.config.OnPush == nil {
		return nil, nil
	}
	body, err := sealer.Open(p.key, sealer.Push, datagram)
	push := &wire.DirectPush{}
	if err != nil || proto.Unmarshal(body, push) != nil {
		return nil, nil
	}
	return p, push
}

// passOf returns the pass of the session that a datagram names, nil if there is
// none.
func (r *Reporter) passOf(datagram []byte) *pass {
	session, _ := sealer.Session(datagram)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.known {
		if e.pass != nil && e.pass.session == session {
			return e.pass
		}
	}
	return nil
}

// handlePush applies pushed changes and replies with the active sequence number.
// Duplicate changes and those that arrive after newer ones have no effect.
func (r *Reporter) handlePush(conn net.PacketConn, to net.Addr, p *pass, push *wire.DirectPush) {
	sequence := r.config.OnPush(push.GetBatch())
	body, err := proto.Marshal(&wire.DirectReply{Serial: push.GetSerial(), Sequence: sequence})
	if err != nil {
		return
	}
	n, err := conn.WriteTo(sealer.Seal(p.key, sealer.PushAck, p.session, body), to)
	if err == nil {
		certifier.AddInternalBytes(n + headerBytes)
	}
}
