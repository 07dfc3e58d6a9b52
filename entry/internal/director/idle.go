package director

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTracker records since when callers' connections are idle and closes those
// that exceed the idle timeout. The timeout comes from the configuration and may
// change while connections are open, which http.Server does not support. It is
// safe for concurrent use.
type idleTracker struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleTracker() *idleTracker { return &idleTracker{since: map[net.Conn]time.Time{}} }

// setState is the ConnState hook of the callers' server.
func (i *idleTracker) setState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.since[c] = time.Now()
	case http.StateActive, http.StateHijacked, http.StateClosed:
		delete(i.since, c)
	}
}

// expire closes the connections that have been idle for longer than timeout; zero
// means no timeout. A request that arrives at the same time has not been read, so
// it has not run.
func (i *idleTracker) expire(now time.Time, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > timeout {
			delete(i.since, c)
			_ = c.Close() // no request is running on it
		}
	}
}
