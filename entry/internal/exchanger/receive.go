package exchanger

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reading of datagrams. A wake-up for each of them would cost a small VM more than what is
// in it: 25 peers send some hundred a second.
const (
	// receiveInterval is the longest time for which a datagram waits to be read. Decisions
	// don't wait for it: they read what has arrived first, with Refresh.
	receiveInterval = 10 * time.Millisecond
	// refreshDatagrams is the number of datagrams that Refresh reads at most, so that the
	// others can't hold up a decision.
	refreshDatagrams = 64
)

// inbox is where datagrams are read.
type inbox struct {
	mu      sync.Mutex // held while datagrams are read and applied, in the order of their arrival
	buffer  [maxDatagramBytes]byte
	decoder decoder
}

// Refresh applies the datagrams that have arrived. It is called before a decision that uses
// what other entries have told. The caller holds no lock that a State, a Screener or a
// Knowledge uses.
func (e *Exchanger) Refresh() { e.readDatagrams(refreshDatagrams) }

// receiveLoop applies the datagrams that arrive until ctx ends or the socket is closed.
func (e *Exchanger) receiveLoop(ctx context.Context) {
	tick := time.NewTicker(receiveInterval)
	defer tick.Stop()
	for e.readDatagrams(0) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// readDatagrams applies the datagrams that have arrived, at most the given number unless it
// is 0. It reports whether more may arrive.
func (e *Exchanger) readDatagrams(most int) bool {
	e.inbox.mu.Lock()
	defer e.inbox.mu.Unlock()
	for i := 0; (most == 0 || i < most) && e.lifetime.Err() == nil; i++ {
		n, err := e.socket.read(e.inbox.buffer[:])
		if errors.Is(err, unix.EAGAIN) {
			return true
		}
		if errors.Is(err, net.ErrClosed) {
			return false
		}
		if err != nil {
			continue // an ICMP error: a peer's port is unreachable
		}
		e.receiveBytes(e.inbox.buffer[:n])
	}
	return e.lifetime.Err() == nil
}

// receiveBytes applies a datagram.
func (e *Exchanger) receiveBytes(data []byte) {
	o, err := e.inbox.decoder.decode(data)
	if err != nil {
		e.config.Log.Warn().Str("event", "datagram-not-understood").Str("cause", err.Error()).Msg("")
		return
	}
	e.receive(e.lifetime, o, time.Now())
}
