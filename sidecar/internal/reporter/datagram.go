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

// Bounds of datagrams.
const (
	ackLimit   = 250 * time.Millisecond // until a call follows
	unheardMax = 3                      // in a row without an answer, then calls alone
	tryAgain   = 64                     // beats as calls until a datagram is tried again
)

// headerBytes of IP and UDP go before each datagram.
const headerBytes = 28

// Counts is what a reporter has sent since its start.
type Counts struct {
	Calls      atomic.Int64
	Datagrams  atomic.Int64
	Unanswered atomic.Int64 // datagrams without an answer
	Skipped    atomic.Int64 // heartbeats that answers stood in for
	Bytes      atomic.Int64 // of datagrams both ways, headers included
}

// Counts returns the counters.
func (r *Reporter) Counts() *Counts { return &r.counts }

// pass is the right to send datagrams to one entry.
type pass struct {
	session uint64
	key     []byte
	base    *wire.Report // of the call that was answered with it
}

// take keeps what a call's reply says of heartbeats.
func (r *Reporter) take(address string, report *wire.Report, reply *wire.BeatReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[address]
	if e == nil {
		return
	}
	e.every = time.Duration(reply.GetEveryMs()) * time.Millisecond
	e.pass = nil
	if p := reply.GetPass(); p != nil {
		e.pass = &pass{session: p.GetSession(), key: p.GetKey(), base: differ.Base(report)}
	}
}

// datagram sends a report as a datagram and reports whether it was answered, so
// that no call is needed.
func (r *Reporter) datagram(ctx context.Context, address string, report *wire.Report) bool {
	p := r.allowed(address)
	if p == nil {
		return false
	}
	body, err := proto.Marshal(differ.Diff(p.base, report))
	to, bad := netip.ParseAddrPort(address)
	if err != nil || bad != nil || len(body)+sealer.Overhead > sealer.MaxDatagram {
		return false
	}
	answer := r.acks.expect(p, report.GetSerial())
	defer r.acks.forget(p, report.GetSerial())
	n, err := r.config.Conn.WriteTo(sealer.Seal(p.key, sealer.Beat, p.session, body), net.UDPAddrFromAddrPort(to))
	if err != nil {
		return false
	}
	r.counts.Datagrams.Add(1)
	r.count(n)
	t := time.NewTimer(ackLimit)
	defer t.Stop()
	select {
	case ack := <-answer:
		r.count(ack.bytes)
		return r.answered(address, ack)
	case <-t.C:
	case <-ctx.Done():
	}
	r.lost(address)
	return false
}

func (r *Reporter) count(bytes int) {
	r.counts.Bytes.Add(int64(bytes + headerBytes))
	certifier.AddInternalBytes(bytes + headerBytes)
}

// allowed returns the pass for the next heartbeat to an entry, nil for a call.
func (r *Reporter) allowed(address string) *pass {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[address]
	if e == nil || e.pass == nil || r.config.Conn == nil {
		return nil
	}
	if e.unheard >= unheardMax {
		e.unheard++
		if e.unheard < unheardMax+tryAgain {
			return nil
		}
		e.unheard = unheardMax - 1
	}
	return e.pass
}

// answered takes an entry's answer to a datagram and reports whether no call is
// needed.
func (r *Reporter) answered(address string, ack *answer) bool {
	r.mu.Lock()
	e := r.known[address]
	if e != nil {
		e.unheard = 0
		e.every = time.Duration(ack.GetEveryMs()) * time.Millisecond
	}
	r.mu.Unlock()
	if ack.GetCall() {
		return false
	}
	r.note(address, true)
	if r.config.OnAck != nil {
		r.config.OnAck(address, ack.BeatAck)
	}
	return true
}

func (r *Reporter) lost(address string) {
	r.counts.Unanswered.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.known[address]; e != nil {
		e.unheard++
	}
}

// answer is an entry's answer to a datagram and its length.
type answer struct {
	*wire.BeatAck
	bytes int
}

// acks holds the datagrams whose answers are waited for.
type acks struct {
	mu   sync.Mutex
	open map[waiting]wait
}

type waiting struct {
	session, serial uint64
}

type wait struct {
	pass   *pass
	answer chan *answer
}

func newAcks() *acks { return &acks{open: map[waiting]wait{}} }

func (a *acks) expect(p *pass, serial uint64) <-chan *answer {
	c := make(chan *answer, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[waiting{p.session, serial}] = wait{p, c}
	return c
}

func (a *acks) forget(p *pass, serial uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, waiting{p.session, serial})
}

// take gives a datagram to who waits for it and reports whether it is an answer
// to a heartbeat. One that is late or comes twice is dropped.
func (a *acks) take(datagram []byte) bool {
	session, _ := sealer.Session(datagram)
	a.mu.Lock()
	defer a.mu.Unlock()
	for at, w := range a.open {
		if at.session != session {
			continue
		}
		body, err := sealer.Open(w.pass.key, sealer.Ack, datagram)
		ack := &wire.BeatAck{}
		if err != nil || proto.Unmarshal(body, ack) != nil || ack.GetSerial() != at.serial {
			continue
		}
		delete(a.open, at)
		w.answer <- &answer{ack, len(datagram)}
		return true
	}
	return false
}
