package spooler

import (
	"context"
	"net"
	"time"

	"bamboohill/core/tallier"
)

// Defaults of Config.
const (
	defaultBuffer      = 4 << 20 // as much as Linux itself holds by default
	defaultPatience    = 1500 * time.Millisecond
	defaultEndTime     = 30 * time.Second
	defaultKernelBytes = 64 << 10
)

// blockBytes is the size of the blocks in which bytes are kept, and of one write of them.
const blockBytes = 4 << 10

// Config describes the connections of a Listener. Tallier is required.
type Config struct {
	Tallier *tallier.Tallier
	// Buffer is the largest number of bytes that one connection keeps, 4 MiB if 0.
	Buffer int
	// Patience is how long a write waits at a full buffer without the caller taking any
	// byte, 1.5 s if 0. Meanwhile nothing is read from the backend server, which cuts off an
	// answer that stays unread for some seconds.
	Patience time.Duration
	// EndTime is how long bytes are still written after the connection was closed, if Begin
	// set no deadline, 30 s if 0.
	EndTime time.Duration
	// KernelBytes bounds the send buffer of the kernel, which counts as memory of the
	// process as well, 64 KiB if 0. Linux doubles it.
	KernelBytes int
	// Stalled, if not nil, is called when a connection begins to keep bytes.
	Stalled func()
}

// Listener accepts connections of callers.
type Listener struct {
	net.Listener
	config Config
}

// Listen returns a listener whose connections are of type *Conn.
func Listen(l net.Listener, config Config) *Listener {
	if config.Buffer <= 0 {
		config.Buffer = defaultBuffer
	}
	if config.Patience <= 0 {
		config.Patience = defaultPatience
	}
	if config.EndTime <= 0 {
		config.EndTime = defaultEndTime
	}
	if config.KernelBytes <= 0 {
		config.KernelBytes = defaultKernelBytes
	}
	return &Listener{Listener: l, config: config}
}

// Accept implements net.Listener. Connections that are not TCP are returned as they are.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return newConn(tcp, &l.config)
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// WithConn is the ConnContext hook of a server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if k, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, k)
	}
	return ctx
}

// From returns the connection of a request by its context, or nil if it is none of a
// Listener. All methods that handlers call accept nil.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
