package receiver

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of one connection from a stranger.
const (
	headerLimit = 10 * time.Second
	headerBytes = 64 << 10
	idleLimit   = 2 * time.Minute
	writeLimit  = time.Minute // of an answer whose handler sets no other
)

// Protect bounds what each connection of a server may cost, and how many are
// open. It must be called before the server serves.
func Protect(web *http.Server, connections int) *Connections {
	c := NewConnections(connections)
	web.ReadHeaderTimeout = headerLimit
	web.MaxHeaderBytes = headerBytes
	web.IdleTimeout = idleLimit
	web.WriteTimeout = writeLimit
	web.ConnState = c.Watch
	return c
}

// Connections bounds the open connections of a server. Beyond the bound the
// connection that has waited longest for a request is closed, so that idle
// ones never keep others out. Its method Watch is an http.Server's ConnState.
type Connections struct {
	mu    sync.Mutex
	most  int
	open  map[net.Conn]*list.Element // nil while a request runs
	idle  *list.List                 // of net.Conn, front waits longest
	ended int                        // closed for the bound
}

// NewConnections returns a bound of most connections.
func NewConnections(most int) *Connections {
	return &Connections{most: most, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// Watch follows a connection's state.
func (c *Connections) Watch(conn net.Conn, state http.ConnState) {
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
	if len(c.open) > c.most && c.idle.Len() > 0 {
		oldest := c.idle.Remove(c.idle.Front()).(net.Conn)
		delete(c.open, oldest)
		c.ended++
		oldest.Close()
	}
}

// Count returns how many connections are open and how many were closed for
// the bound.
func (c *Connections) Count() (open, ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.ended
}
