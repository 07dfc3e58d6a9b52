package viewer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Server is one run of a backend server.
type Server struct {
	ID       ServerID
	Service  ServiceName
	Address  string
	Domain   Domain
	Slots    int // requests that it runs at once
	Draining bool
	Cold     time.Duration // how much longer it stays cold, as of Seen
	Born     int64         // Unix milliseconds of its start; tells incarnations apart
	Seen     time.Time     // when this was learnt
}

// ColdAt reports whether the backend server is cold at the time.
func (s *Server) ColdAt(now time.Time) bool { return now.Before(s.Seen.Add(s.Cold)) }

// View is what an entry believes at one moment. It is immutable.
type View struct {
	Configuration *Configuration // nil until one was learnt
	Servers       map[ServerID]*Server
	Listed        bool // the list of backend servers was read at least once
	Out           map[Domain]bool
	Engines       int // of Servers, those of services that are model engines
}

// count returns the number of model engines.
func (v *View) count() int {
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

// Of returns the backend servers of a service that may get new work.
func (v *View) Of(service ServiceName) []*Server {
	var found []*Server
	for _, s := range v.Servers {
		if s.Service == service && !s.Draining && !v.Out[s.Domain] {
			found = append(found, s)
		}
	}
	return found
}

// Ready reports whether requests can be served from the view.
func (v *View) Ready() bool { return v.Configuration != nil && v.Listed }

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

// Configure takes a configuration and reports whether it is newer than the one
// in force.
func (v *Viewer) Configure(c *Configuration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	if next.Configuration != nil && next.Configuration.Revision >= c.Revision {
		return false
	}
	next.Configuration = c
	next.Engines = next.count()
	v.view.Store(&next)
	return true
}

// SetOut replaces the failure domains that are out.
func (v *Viewer) SetOut(out map[Domain]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	next.Out = maps.Clone(out)
	v.view.Store(&next)
}

// List replaces the backend servers.
func (v *Viewer) List(servers map[ServerID]*Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	next.Servers = maps.Clone(servers)
	next.Listed = true
	next.Engines = next.count()
	v.view.Store(&next)
}
