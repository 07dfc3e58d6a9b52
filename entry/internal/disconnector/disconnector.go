// Package disconnector closes idle connections of an http.Server, and keeps requests from
// running that were read as their connection was closed: they could not be answered.
//
// # Usage
//
//	var d disconnector.Disconnector
//	server.Handler, server.ConnContext = d.Handler(server.Handler), disconnector.WithConnection
//	server.ConnState = func(c net.Conn, state http.ConnState) { ... d.Close(c) or d.Forget(c) ... }
package disconnector

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Disconnector records the connections that it has closed and the server still holds. Its
// zero value has closed none. It is safe for concurrent use.
type Disconnector struct {
	mu     sync.Mutex
	closed map[net.Conn]bool
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// WithConnection is the ConnContext hook of the server.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Close closes an idle connection. The caller must keep c from becoming active meanwhile, or
// call Close before its ConnState hook has returned for that.
func (d *Disconnector) Close(c net.Conn) {
	d.mu.Lock()
	if d.closed == nil {
		d.closed = map[net.Conn]bool{}
	}
	d.closed[c] = true
	d.mu.Unlock()
	_ = c.Close() // no request is running on it
}

// Forget removes a connection that the server no longer holds.
func (d *Disconnector) Forget(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.closed, c)
}

// Count returns the number of connections that are closed and not forgotten.
func (d *Disconnector) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.closed)
}

// Handler passes requests on to next, but for those whose connection is closed: they have
// not run, and can't be answered.
func (d *Disconnector) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, found := r.Context().Value(connectionKey{}).(net.Conn); found && d.HasClosed(c) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// HasClosed reports whether Close was called for a connection that is not forgotten.
func (d *Disconnector) HasClosed(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed[c]
}
