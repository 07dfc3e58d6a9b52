package viewer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Server is one run of a backend server.
type Server struct {
	ID          ServerID
	Service     ServiceName
	Address     string
	Domain      Domain
	Slots       int // requests that it runs concurrently
	Draining    bool
	ColdFor     time.Duration // remaining time for which it stays cold, as of Observed
	StartMillis int64         // start time, in Unix milliseconds; identifies the incarnation; 0 if unknown
	Sequence    int64         // of its registration among those that it has written since its start
	Observed    time.Time     // when this state was read
}

// Precedes reports whether the registration that s holds is older than that of other, of the
// same server: of an earlier start, or written earlier in the same start. It is false if that
// can't be told. Without start times, a first registration counts as that of a later start.
func (s *Server) Precedes(other *Server) bool {
	switch {
	case s.StartMillis == 0 && other.StartMillis == 0:
		return s.Sequence < other.Sequence && s.Sequence > 1
	case s.StartMillis == 0 || other.StartMillis == 0:
		return false
	case s.StartMillis != other.StartMillis:
		return s.StartMillis < other.StartMillis
	}
	return s.Sequence < other.Sequence
}

// ColdAt reports whether the backend server is cold at the given time.
func (s *Server) ColdAt(now time.Time) bool { return now.Before(s.Observed.Add(s.ColdFor)) }

// View is a snapshot of the deployment. It is immutable.
type View struct {
	Configuration *Configuration // nil until the first one is set
	Servers       map[ServerID]*Server
	ServersKnown  bool // the backend servers were set at least once
	OutOfService  map[Domain]bool
	Engines       int // number of Servers that are model engines and don't leave
}

// countEngines returns the number of servers that are model engines and don't leave.
func (v *View) countEngines() int {
	if v.Configuration == nil {
		return 0
	}
	n := 0
	for _, s := range v.Servers {
		if service := v.Configuration.Services[s.Service]; service != nil && service.Engine != nil && !s.Draining {
			n++
		}
	}
	return n
}

// ServersOf returns the backend servers of a service that may get new work, in no
// particular order.
func (v *View) ServersOf(service ServiceName) []*Server {
	var found []*Server
	for _, s := range v.Servers {
		if s.Service == service && !s.Draining && !v.OutOfService[s.Domain] {
			found = append(found, s)
		}
	}
	return found
}

// Ready reports whether the view has a configuration and the backend servers, so
// that requests can be served.
func (v *View) Ready() bool { return v.Configuration != nil && v.ServersKnown }

// Viewer publishes views. It is safe for concurrent use.
type Viewer struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// New returns a Viewer with an empty view.
func New() *Viewer {
	v := &Viewer{}
	v.view.Store(&View{})
	return v
}

// Load returns the newest view.
func (v *Viewer) Load() *View { return v.view.Load() }

// SetConfiguration replaces the configuration if c is newer, and reports whether it
// did.
func (v *Viewer) SetConfiguration(c *Configuration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	if next.Configuration != nil && !c.supersedes(next.Configuration) {
		return false
	}
	next.Configuration = c
	next.Engines = next.countEngines()
	v.view.Store(&next)
	return true
}

// SetOutOfService replaces the set of failure domains that are out of service.
func (v *Viewer) SetOutOfService(domains map[Domain]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	next.OutOfService = maps.Clone(domains)
	v.view.Store(&next)
}

// SetServers replaces the backend servers.
func (v *Viewer) SetServers(servers map[ServerID]*Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	next.Servers = maps.Clone(servers)
	next.ServersKnown = true
	next.Engines = next.countEngines()
	v.view.Store(&next)
}
