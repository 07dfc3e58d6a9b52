package detector

import (
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Limits on the broken requests that are held.
const (
	retention     = 10 * time.Second // a registration expires within three heartbeats of about 1.2 s, and is read a second later
	refusalWindow = 2 * time.Second  // a crashed server is down for some seconds; one that refuses later may have been shut down
	maxBroken     = 4096             // broken requests; beyond it the oldest is dropped
)

// Crash is a request that was running on a backend server when the server crashed.
type Crash struct {
	Fingerprint string
	Server      viewer.ServerID
	StartMillis int64         // start time of the crashed server, in Unix milliseconds
	Age         time.Duration // since its connection broke
}

// brokenRequest is a request whose connection broke.
type brokenRequest struct {
	fingerprint string
	server      viewer.ServerID
	startMillis int64
	at          time.Time
	refused     bool // the server refused a connection within refusalWindow
}

// Detector holds the broken requests of one entry. It is safe for concurrent use.
type Detector struct {
	mu     sync.Mutex
	broken []brokenRequest // oldest first
}

// New returns a Detector without broken requests.
func New() *Detector { return &Detector{} }

// RecordBroken records that the connection of a request to a backend server broke.
func (d *Detector) RecordBroken(s *viewer.Server, fingerprint string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.broken) >= maxBroken {
		d.broken = slices.Delete(d.broken, 0, 1)
	}
	d.broken = append(d.broken, brokenRequest{fingerprint: fingerprint, server: s.ID, startMillis: s.StartMillis, at: now})
}

// RecordRefused records that a backend server refused a connection.
func (d *Detector) RecordRefused(server viewer.ServerID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, b := range d.broken {
		if b.server == server && now.Sub(b.at) <= refusalWindow {
			d.broken[i].refused = true
		}
	}
}

// Confirmed returns the requests whose backend server has crashed, each request
// once. It drops the broken requests without a confirmed crash after 10 seconds.
func (d *Detector) Confirmed(servers map[viewer.ServerID]*viewer.Server, now time.Time) []Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	var crashes []Crash
	d.broken = slices.DeleteFunc(d.broken, func(b brokenRequest) bool {
		listed, found := servers[b.server]
		if b.refused || !found || listed.StartMillis != b.startMillis {
			crashes = append(crashes, Crash{Fingerprint: b.fingerprint, Server: b.server, StartMillis: b.startMillis, Age: now.Sub(b.at)})
			return true
		}
		return now.Sub(b.at) > retention
	})
	return crashes
}
