package receiver

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of one connection from a caller.
const (
	headerTimeout       = 10 * time.Second
	maxHeaderBytes      = 64 << 10
	idleTimeout         = 2 * time.Minute
	defaultWriteTimeout = time.Minute // of a response whose handler sets no other
)

// LimitConnections sets the timeouts and the header size of a server's
// connections, and limits the number of open ones. It must be called before the
// server serves.
func LimitConnections(web *http.Server, connections int) *ConnectionLimiter {
	c := NewConnectionLimiter(connections)
	web.ReadHeaderTimeout = headerTimeout
	web.MaxHeaderBytes = maxHeaderBytes
	web.IdleTimeout = idleTimeout
	web.WriteTimeout = defaultWriteTimeout
	web.ConnState = c.TrackState
	return c
}

// ConnectionLimiter limits the number of open connections of a server. Above
// the limit it closes the connection that has been idle the longest, so that
// idle connections never keep out new ones. Its method TrackState is the
// ConnState callback of an http.Server.
type ConnectionLimiter struct {
	mu     sync.Mutex
	limit  int
	open   map[net.Conn]*list.Element // nil while a request runs
	idle   *list.List                 // of net.Conn; the front has been idle the longest
	closed int                        // connections closed because of the limit
}

// NewConnectionLimiter returns a limiter that allows limit open connections.
func NewConnectionLimiter(limit int) *ConnectionLimiter {
	return &ConnectionLimiter{limit: limit, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// TrackState records the new state of a connection.
func (c *ConnectionLimiter) TrackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[conn]; e != nil {
		c.idle.Remove(e)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.open[conn] = c.idle.PushBack(conn)
	case http.StateActive:
		c.open[conn] = nil
	case http.StateHijacked, http.StateClosed:
		delete(c.open, conn)
	}
	if len(c.open) > c.limit && c.idle.Len() > 0 {
		oldest := c.idle.Remove(c.idle.Front()).(net.Conn)
		delete(c.open, oldest)
		c.closed++
		oldest.Close()
	}
}

// Count returns the number of open connections and of those that were closed
// because of the limit.
func (c *ConnectionLimiter) Count() (open, closed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.closed
}
