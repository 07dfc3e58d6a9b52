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
	Slots       int // requests that it runs at once
	Draining    bool
	ColdFor     time.Duration // how much longer it stays cold, as of Seen
	StartMillis int64         // Unix milliseconds of its start; tells incarnations apart
	Observed    time.Time     // when this was learnt
}

// ColdAt reports whether the backend server is cold at the time.
func (s *Server) ColdAt(now time.Time) bool { return now.Before(s.Observed.Add(s.ColdFor)) }

// View is what an entry believes at one moment. It is immutable.
type View struct {
	Configuration *Configuration // nil until one was learnt
	Servers       map[ServerID]*Server
	ServersKnown  bool // the list of backend servers was read at least once
	OutOfService  map[Domain]bool
	Engines       int // of Servers, those of services that are model engines
}

// countEngines returns the number of model engines.
func (v *View) countEngines() int {
	if v.Configuration == nil {
		return 0
	}
	n := 0
	for _, s := range v.Servers {
		if service := v.Configuration.Services[s.Service]; service != nil && service.Engine != nil {
			n++
		}
	}
	return n
}

// ServersOf returns the backend servers of a service that may get new work.
func (v *View) ServersOf(service ServiceName) []*Server {
	var found []*Server
	for _, s := range v.Servers {
		if s.Service == service && !s.Draining && !v.OutOfService[s.Domain] {
			found = append(found, s)
		}
	}
	return found
}

// Ready reports whether requests can be served from the view.
func (v *View) Ready() bool { return v.Configuration != nil && v.ServersKnown }

// Viewer publishes views. It is safe for concurrent use.
type Viewer struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// New returns a viewer that knows nothing.
func New() *Viewer {
	v := &Viewer{}
	v.view.Store(&View{})
	return v
}

// Load returns the newest view.
func (v *Viewer) Load() *View { return v.view.Load() }

// SetConfiguration takes a configuration and reports whether it is newer than the one
// in force.
func (v *Viewer) SetConfiguration(c *Configuration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	if next.Configuration != nil && next.Configuration.Revision >= c.Revision {
		return false
	}
	next.Configuration = c
	next.Engines = next.countEngines()
	v.view.Store(&next)
	return true
}

// SetOutOfService replaces the failure domains that are out.
func (v *Viewer) SetOutOfService(out map[Domain]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	next.OutOfService = maps.Clone(out)
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
