package certifier

import (
	"context"
	"expvar"
	"net"
)

// innerBytes counts every byte, both ways, on the connections between the
// system's processes that this process has listened for or dialled; TLS is
// included. While no caller sends anything, it is the cost of control.
var innerBytes = expvar.NewInt("inner_bytes")

// InnerBytes returns the bytes exchanged with the system's other processes
// since the start.
func InnerBytes() int64 { return innerBytes.Value() }

type meteredConn struct {
	net.Conn
}

// Read implements net.Conn.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	innerBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	innerBytes.Add(int64(n))
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
	return meteredConn{c}, nil
}

func dialMetered(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return meteredConn{c}, nil
}
