package receiver

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"bamboohill/entry/internal/disconnector"
)

// Limits of one connection from a caller.
const (
	headerTimeout       = 10 * time.Second
	maxHeaderBytes      = 64 << 10
	idleTimeout         = 2 * time.Minute
	defaultWriteTimeout = time.Minute // of a response whose handler sets no other
)

// LimitConnections sets the timeouts and the header size of a server's
// connections, and limits the number of open ones. It must be called once the
// server has its handler and before it serves. A request that is read as the limiter
// closes its connection does not run.
func LimitConnections(web *http.Server, connections int) *ConnectionLimiter {
	c := NewConnectionLimiter(connections)
	web.ReadHeaderTimeout = headerTimeout
	web.MaxHeaderBytes = maxHeaderBytes
	web.IdleTimeout = idleTimeout
	web.WriteTimeout = defaultWriteTimeout
	web.ConnState = c.TrackState
	web.ConnContext = disconnector.WithConnection
	web.Handler = c.closer.Handler(web.Handler)
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
	idle   *list.List                 // of idleConn; the front has been idle the longest
	closed int                        // connections closed because of the limit
	ending bool                       // connections are closed once they are idle
	closer disconnector.Disconnector
}

// idleConn is a connection without a request.
type idleConn struct {
	net.Conn
	used bool // a request has run on it
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
		c.open[conn] = c.idle.PushBack(idleConn{Conn: conn, used: state == http.StateIdle})
		if c.ending && state == http.StateIdle {
			c.closeIdle(c.open[conn])
		}
	case http.StateActive:
		if !c.closer.HasClosed(conn) {
			c.open[conn] = nil
		}
	case http.StateHijacked, http.StateClosed:
		delete(c.open, conn)
		c.closer.Forget(conn)
	}
	if len(c.open) > c.limit && c.idle.Len() > 0 {
		c.closed++
		c.closeIdle(c.idle.Front())
	}
}

// closeIdle closes an idle connection. The caller holds the lock.
func (c *ConnectionLimiter) closeIdle(e *list.Element) {
	conn := c.idle.Remove(e).(idleConn).Conn
	delete(c.open, conn)
	c.closer.Close(conn)
}

// End closes the idle connections, and from now on each one once it is idle. A connection
// without a request so far stays open for its first one.
func (c *ConnectionLimiter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	for e := c.idle.Front(); e != nil; {
		next := e.Next()
		if e.Value.(idleConn).used {
			c.closeIdle(e)
		}
		e = next
	}
}

// Count returns the number of open connections and of those that were closed
// because of the limit.
func (c *ConnectionLimiter) Count() (open, closed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.closed
}
