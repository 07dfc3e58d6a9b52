package director

import (
	"net"
	"net/http"
	"sync"
	"time"

	"bamboohill/entry/internal/disconnector"
)

// idleTracker records since when callers' connections are idle and closes those
// that exceed the idle timeout. The timeout comes from the configuration and may
// change while connections are open, which http.Server does not support. It is
// safe for concurrent use.
type idleTracker struct {
	mu     sync.Mutex
	since  map[net.Conn]time.Time
	closer disconnector.Disconnector
	ending bool // connections are closed once they are idle
}

func newIdleTracker() *idleTracker {
	return &idleTracker{since: map[net.Conn]time.Time{}}
}

// setState is the ConnState hook of the callers' server.
func (i *idleTracker) setState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew:
		i.since[c] = time.Now()
	case http.StateIdle:
		i.since[c] = time.Now()
		if i.ending {
			i.close(c)
		}
	case http.StateActive:
		delete(i.since, c)
	case http.StateHijacked, http.StateClosed:
		delete(i.since, c)
		i.closer.Forget(c)
	}
}

// close closes an idle connection. The caller holds the lock.
func (i *idleTracker) close(c net.Conn) {
	delete(i.since, c)
	i.closer.Close(c)
}

// end closes the connections that have been idle for longer than age, and from now on each
// one once it is idle.
func (i *idleTracker) end(now time.Time, age time.Duration) {
	i.expire(now, age)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ending = true
}

// expire closes the connections that have been idle for longer than timeout; zero
// means no timeout.
func (i *idleTracker) expire(now time.Time, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > timeout {
			i.close(c)
		}
	}
}
