package certifier

import (
	"net/http"
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
}

// NewPeer returns a peer that trusts servers of the given roles. With a nil
// store connections are plain.
func NewPeer(s *Store, roles ...string) *Peer {
	t := &http.Transport{
		DialContext:         dialMetered,
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleLimit, ExpectContinueTimeout: continueLimit, DisableCompression: true,
	}
	if s == nil {
		return &Peer{Client: &http.Client{Transport: t}, scheme: "http://"}
	}
	t.TLSClientConfig = s.client(roles)
	return &Peer{Client: &http.Client{Transport: t}, scheme: "https://"}
}

// URL returns the base URL of a process at an ip:port.
func (p *Peer) URL(address string) string { return p.scheme + address }

// Admits reports whether a call comes from a process of one of the roles. Where
// clients show no certificate, because connections are plain or there is no
// authority, any call is admitted.
func Admits(q *http.Request, roles ...string) bool {
	return q.TLS == nil || len(q.TLS.PeerCertificates) == 0 || prove(*q.TLS, roles) == nil
}
