package reporter

import (
	"net"

	"bamboohill/core/certifier"
	"bamboohill/core/sealer"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// read takes datagrams from entries until the connection is closed.
func (r *Reporter) read(conn net.PacketConn) {
	buffer := make([]byte, sealer.MaxDatagram+1)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if r.acks.take(buffer[:n]) {
			continue
		}
		if p, push := r.pushed(buffer[:n]); push != nil {
			certifier.AddInternalBytes(n + headerBytes)
			go r.push(conn, from, p, push)
		}
	}
}

// pushed returns the push that a datagram is, and the pass that it came by; nil
// if it is none of an entry that granted one.
func (r *Reporter) pushed(datagram []byte) (*pass, *wire.DirectPush) {
	p := r.granted(datagram)
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

// granted returns the pass of the session that a datagram names.
func (r *Reporter) granted(datagram []byte) *pass {
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

// push takes changes and answers. Changes that come twice, or after newer ones,
// change nothing.
func (r *Reporter) push(conn net.PacketConn, to net.Addr, p *pass, push *wire.DirectPush) {
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
