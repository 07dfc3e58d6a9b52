package detector

import (
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Bounds of what is remembered.
const (
	memory      = 10 * time.Second // a registration expires within three heartbeats of some 1.2 s, and is read a second later
	refusalNear = 2 * time.Second  // a crashed server is down for some seconds; one that refuses later may have left
	most        = 4096             // broken sends; the oldest make room
)

// Crash is a request that was at a backend server which has since died.
type Crash struct {
	Fingerprint string
	Server      viewer.ServerID
	StartMillis int64         // start of the server that died, Unix milliseconds
	Age         time.Duration // since its connection broke
}

// sighting is a send that broke off.
type sighting struct {
	fingerprint string
	server      viewer.ServerID
	born        int64
	at          time.Time
	refused     bool
}

// Detector holds the broken sends of one entry. It is safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	broke []sighting // oldest first
}

// New returns an detector that has seen nothing.
func New() *Detector { return &Detector{} }

// RecordBroken notes that a send of a request broke off at a backend server.
func (a *Detector) RecordBroken(s *viewer.Server, fingerprint string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.broke) >= most {
		a.broke = slices.Delete(a.broke, 0, 1)
	}
	a.broke = append(a.broke, sighting{fingerprint: fingerprint, server: s.ID, born: s.StartMillis, at: now})
}

// RecordRefused notes that a backend server refused a connection.
func (a *Detector) RecordRefused(server viewer.ServerID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, s := range a.broke {
		if s.server == server && now.Sub(s.at) <= refusalNear {
			a.broke[i].refused = true
		}
	}
}

// Confirmed returns the requests whose backend server is shown to have died, each
// once, and forgets those of which nothing was shown in time.
func (a *Detector) Confirmed(servers map[viewer.ServerID]*viewer.Server, now time.Time) []Crash {
	a.mu.Lock()
	defer a.mu.Unlock()
	var dead []Crash
	a.broke = slices.DeleteFunc(a.broke, func(s sighting) bool {
		listed, found := servers[s.server]
		if s.refused || !found || listed.StartMillis != s.born {
			dead = append(dead, Crash{Fingerprint: s.fingerprint, Server: s.server, StartMillis: s.born, Age: now.Sub(s.at)})
			return true
		}
		return now.Sub(s.at) > memory
	})
	return dead
}
