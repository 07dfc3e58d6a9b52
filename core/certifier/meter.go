package certifier

import (
	"expvar"
	"net"
	"sync/atomic"
)

// internalBytes counts the bytes sent and received on the connections between
// the system's processes that this process has accepted or dialled, including
// the overhead of TLS. While no caller sends requests, it measures control
// traffic.
var internalBytes = expvar.NewInt("inner_bytes")

// InternalBytes returns the number of bytes exchanged with the system's other
// processes since this process started.
func InternalBytes() int64 { return internalBytes.Value() }

// AddInternalBytes adds n bytes that were exchanged with the system's other
// processes by other means than these connections, such as datagrams.
func AddInternalBytes(n int) { internalBytes.Add(int64(n)) }

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64 // additional counter; may be nil
}

func (c meteredConn) count(n int) {
	internalBytes.Add(int64(n))
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

// meteredListener counts the bytes of the connections that it accepts.
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
