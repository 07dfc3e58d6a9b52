package certifier

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bamboohill/core/verifier"
)

// Limits of the connections between the system's processes.
const (
	maxIdlePerHost  = 256
	idleTimeout     = time.Minute
	continueTimeout = 5 * time.Second
)

// Peer is an HTTP client for the system's other processes. It uses TLS if it was
// created with a Store.
type Peer struct {
	Client *http.Client
	scheme string
	bytes  atomic.Int64
}

// Bytes returns the number of bytes exchanged over connections that this Peer
// has opened.
func (p *Peer) Bytes() int64 { return p.bytes.Load() }

// dial opens a connection whose bytes are included in Bytes.
func (p *Peer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return meteredConn{Conn: c, bytes: &p.bytes}, nil
}

// NewPeer returns a Peer that accepts servers with the given roles. With a nil
// Store, connections are plain TCP.
func NewPeer(s *Store, roles ...string) *Peer {
	p := &Peer{scheme: "http://"}
	t := &http.Transport{
		DialContext:         p.dial,
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout, ExpectContinueTimeout: continueTimeout, DisableCompression: true,
	}
	if s != nil {
		t.TLSClientConfig = s.client(roles)
		p.scheme = "https://"
	}
	p.Client = &http.Client{Transport: verifier.NewTransport(t)}
	return p
}

// URL returns the base URL of the process at an ip:port.
func (p *Peer) URL(address string) string { return p.scheme + address }

// Admits reports whether a request comes from a process with one of the roles. It
// admits any request if the client has sent no certificate, because connections
// are not encrypted or there is no authority.
func Admits(q *http.Request, roles ...string) bool {
	return q.TLS == nil || len(q.TLS.PeerCertificates) == 0 || verifyRole(*q.TLS, roles) == nil
}
