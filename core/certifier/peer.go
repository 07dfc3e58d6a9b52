package certifier

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Bounds of the connections between the system's processes.
const (
	idlePerHost   = 256
	idleLimit     = time.Minute
	continueLimit = 5 * time.Second
)

// Peer reaches the system's other processes, with TLS if there is a store.
type Peer struct {
	Client *http.Client
	scheme string
	bytes  atomic.Int64
}

// Bytes returns the bytes exchanged over connections that this peer has made.
func (p *Peer) Bytes() int64 { return p.bytes.Load() }

// dial makes a connection whose bytes count as this peer's.
func (p *Peer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return meteredConn{Conn: c, bytes: &p.bytes}, nil
}

// NewPeer returns a peer that trusts servers of the given roles. With a nil
// store connections are plain.
func NewPeer(s *Store, roles ...string) *Peer {
	p := &Peer{scheme: "http://"}
	t := &http.Transport{
		DialContext:         p.dial,
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleLimit, ExpectContinueTimeout: continueLimit, DisableCompression: true,
	}
	p.Client = &http.Client{Transport: t}
	if s != nil {
		t.TLSClientConfig = s.client(roles)
		p.scheme = "https://"
	}
	return p
}

// URL returns the base URL of a process at an ip:port.
func (p *Peer) URL(address string) string { return p.scheme + address }

// Admits reports whether a call comes from a process of one of the roles. Where
// clients show no certificate, because connections are plain or there is no
// authority, any call is admitted.
func Admits(q *http.Request, roles ...string) bool {
	return q.TLS == nil || len(q.TLS.PeerCertificates) == 0 || prove(*q.TLS, roles) == nil
}
