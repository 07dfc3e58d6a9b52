package director

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idle knows since when callers' connections are idle. The bound comes from
// the configuration and may change while they are open, which http.Server
// can't follow. It is safe for concurrent use.
type idle struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdle() *idle { return &idle{since: map[net.Conn]time.Time{}} }

// note is the ConnState hook of the callers' server.
func (i *idle) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.since[c] = time.Now()
	case http.StateActive, http.StateHijacked, http.StateClosed:
		delete(i.since, c)
	}
}

// expire closes the connections that have been idle for longer than most, if
// that is not zero. A request that crosses the end was not read.
func (i *idle) expire(now time.Time, most time.Duration) {
	if most <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > most {
			delete(i.since, c)
			_ = c.Close() // nobody waits for anything on it
		}
	}
}
