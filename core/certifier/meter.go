package certifier

import (
	"expvar"
	"net"
	"sync/atomic"
)

// innerBytes counts every byte, both ways, on the connections between the
// system's processes that this process has listened for or dialled; TLS is
// included. While no caller sends anything, it is the cost of control.
var innerBytes = expvar.NewInt("inner_bytes")

// InnerBytes returns the bytes exchanged with the system's other processes
// since the start.
func InnerBytes() int64 { return innerBytes.Value() }

// AddInner counts bytes that were exchanged with the system's other processes
// by other means than these connections.
func AddInner(n int) { innerBytes.Add(int64(n)) }

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64 // counted besides; nil if not
}

func (c meteredConn) count(n int) {
	innerBytes.Add(int64(n))
	if c.bytes != nil {
		c.bytes.Add(int64(n))
	}
}

// Read implements net.Conn.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

type meteredListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{Conn: c}, nil
}
