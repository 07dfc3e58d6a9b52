package reporter

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/differ"
	"bamboohill/core/sealer"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// Limits of sending datagrams to one entry.
const (
	ackTimeout    = 250 * time.Millisecond // wait for an acknowledgement before a call is made instead
	maxUnanswered = 3                      // consecutive unanswered datagrams after which only calls are made
	datagramRetry = 64                     // heartbeats sent as calls before a datagram is tried again
)

// headerBytes is the length of the IP and UDP headers of a datagram.
const headerBytes = 28

// Counts counts what a reporter has sent since its start.
type Counts struct {
	Calls      atomic.Int64
	Datagrams  atomic.Int64
	Unanswered atomic.Int64 // datagrams that were not acknowledged in time
	Skipped    atomic.Int64 // heartbeats not sent because an answer had just carried a report
	Bytes      atomic.Int64 // bytes of datagrams in both directions, headers included
}

// Counts returns the counters.
func (r *Reporter) Counts() *Counts { return &r.counts }

// pass is the session in which datagrams are exchanged with one entry.
type pass struct {
	session uint64
	key     []byte
	base    *wire.Report // report of the call that opened the session; datagrams hold the difference to it
}

// applyReply takes over the interval and the pass from the reply to a call that
// sent a report.
func (r *Reporter) applyReply(address string, report *wire.Report, reply *wire.BeatReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[address]
	if e == nil {
		return
	}
	e.interval = time.Duration(reply.GetEveryMs()) * time.Millisecond
	e.pass = nil
	if p := reply.GetPass(); p != nil {
		e.pass = &pass{session: p.GetSession(), key: p.GetKey(), base: differ.Base(report)}
	}
}

// sendDatagram sends a report as a datagram and reports whether the entry
// acknowledged it without asking for a call.
func (r *Reporter) sendDatagram(ctx context.Context, address string, report *wire.Report) bool {
	p := r.nextPass(address)
	if p == nil {
		return false
	}
	body, err := proto.Marshal(differ.Diff(p.base, report))
	to, addressErr := netip.ParseAddrPort(address)
	if err != nil || addressErr != nil || len(body)+sealer.Overhead > sealer.MaxDatagram {
		return false
	}
	acknowledged := r.acks.expect(p, report.GetSerial())
	defer r.acks.forget(p, report.GetSerial())
	n, err := r.config.Conn.WriteTo(sealer.Seal(p.key, sealer.Beat, p.session, body), net.UDPAddrFromAddrPort(to))
	if err != nil {
		return false
	}
	r.counts.Datagrams.Add(1)
	r.countBytes(n)
	t := time.NewTimer(ackTimeout)
	defer t.Stop()
	select {
	case ack := <-acknowledged:
		r.countBytes(ack.bytes)
		return r.handleAck(address, ack)
	case <-t.C:
	case <-ctx.Done():
	}
	r.recordLoss(address)
	return false
}

// countBytes counts a datagram of the given length plus its headers.
func (r *Reporter) countBytes(bytes int) {
	r.counts.Bytes.Add(int64(bytes + headerBytes))
	certifier.AddInternalBytes(bytes + headerBytes)
}

// nextPass returns the pass for the next heartbeat to an entry, or nil if the
// heartbeat must be a call.
func (r *Reporter) nextPass(address string) *pass {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[address]
	if e == nil || e.pass == nil || r.config.Conn == nil {
		return nil
	}
	if e.unanswered >= maxUnanswered {
		e.unanswered++
		if e.unanswered < maxUnanswered+datagramRetry {
			return nil
		}
		e.unanswered = maxUnanswered - 1
	}
	return e.pass
}

// handleAck processes the acknowledgement of a datagram and reports whether no
// call is needed.
func (r *Reporter) handleAck(address string, ack *receivedAck) bool {
	r.mu.Lock()
	e := r.known[address]
	if e != nil {
		e.unanswered = 0
		e.interval = time.Duration(ack.GetEveryMs()) * time.Millisecond
	}
	r.mu.Unlock()
	if ack.GetCall() {
		return false
	}
	r.recordResult(address, true)
	if r.config.OnAck != nil {
		r.config.OnAck(address, ack.BeatAck)
	}
	return true
}

// recordLoss counts a datagram to an entry that was not acknowledged in time.
func (r *Reporter) recordLoss(address string) {
	r.counts.Unanswered.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.known[address]; e != nil {
		e.unanswered++
	}
}

// receivedAck is the acknowledgement of a datagram and its length in bytes.
type receivedAck struct {
	*wire.BeatAck
	bytes int
}

// acks matches acknowledgements with the datagrams that wait for them.
type acks struct {
	mu      sync.Mutex
	pending map[ackKey]pendingAck
}

type ackKey struct {
	session, serial uint64
}

type pendingAck struct {
	pass *pass
	ack  chan *receivedAck
}

func newAcks() *acks { return &acks{pending: map[ackKey]pendingAck{}} }

// expect returns the channel that gets the acknowledgement of a datagram.
func (a *acks) expect(p *pass, serial uint64) <-chan *receivedAck {
	c := make(chan *receivedAck, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[ackKey{p.session, serial}] = pendingAck{p, c}
	return c
}

// forget stops waiting for the acknowledgement of a datagram.
func (a *acks) forget(p *pass, serial uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, ackKey{p.session, serial})
}

// deliver passes an acknowledgement to the heartbeat that waits for it. It returns
// false if no heartbeat waits for the datagram: it is late, a duplicate or not an
// acknowledgement.
func (a *acks) deliver(datagram []byte) bool {
	session, _ := sealer.Session(datagram)
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, p := range a.pending {
		if k.session != session {
			continue
		}
		body, err := sealer.Open(p.pass.key, sealer.Ack, datagram)
		ack := &wire.BeatAck{}
		if err != nil || proto.Unmarshal(body, ack) != nil || ack.GetSerial() != k.serial {
			continue
		}
		delete(a.pending, k)
		p.ack <- &receivedAck{ack, len(datagram)}
		return true
	}
	return false
}
