package viewer

import (
	"iter"
	"strings"
	"sync"
	"time"

	"bamboohill/core/predictor"
)

// ServerID identifies one run of a backend server.
type ServerID string

// ServiceName is the name of a service.
type ServiceName string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a region.
type Region string

// Kind says whether the requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	AtMostOnce Kind = iota // runs at most once for each attempt of a caller
	Idempotent             // may run any number of times
	Streaming              // answered by a series of events
)

// Route says how the requests of one host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // for a whole request
	TargetLatency time.Duration // until the answer, or the first event of a stream
	TargetGap     time.Duration // between two events of a stream
	Priority      int           // 0 is the most urgent
	Targets       []Target
	MaxAttempts   int // most backend servers that one request is sent to
	Public        bool
	Resumable     bool // a stream may continue on another backend server
	Regions       []Region
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service ServiceName
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name        ServiceName
	ColdRate    float64           // requests per second that a cold backend server can handle
	Connections int               // that a backend server accepts from all callers together; 0 if unknown
	Engine      *predictor.Engine // nil for a plain service
	Usual       Size              // of its requests, as the operators expect them
}

// Size is the mean size of requests in tokens. Zero means unknown.
type Size struct {
	Prompt, Answer int
}

// idleFraction is the fraction of a backend server's connections that may be idle.
// The rest is for running requests, and for entries that this one does not know
// yet.
const idleFraction = 0.5

// MaxIdle returns the number of idle connections that each of the given number of
// entries may keep to a backend server: at least one, or 0 if there is no limit.
func (s *Service) MaxIdle(entries int) int {
	if s.Connections <= 0 {
		return 0
	}
	return max(1, int(idleFraction*float64(s.Connections)/float64(max(1, entries))))
}

// Account is a client account.
type Account struct {
	Name     string
	Priority *int // takes precedence over that of the route; nil if the account has none
	Regions  []Region
}

// Limits are the limits on what callers send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	Era      int64 // of the store when it gave out Revision
	Revision int64 // of the row in the store; increases with every change within an era
	Version  int64 // version number that the operators set; increases with every change
	Services map[ServiceName]*Service
	Limits   Limits

	routes       map[string]map[string]*Route // by host, then by prefix
	accounts     map[string]*Account          // by key
	keysRequired bool                         // requests need a key, unless their route is public

	ranksOnce sync.Once
	urgencies []urgency // of all requests, in the order of their ranks
	ranks     map[ServiceName]rankRange
}

// supersedes reports whether c is newer than the configuration old. The store orders
// configurations within an era, the operators' numbers do so across eras.
func (c *Configuration) supersedes(old *Configuration) bool {
	if c.Era == old.Era {
		return c.Revision > old.Revision
	}
	return c.Version > old.Version || c.Version == old.Version && c.Era > old.Era
}

// NewConfiguration returns a Configuration with the routes. The map accounts has
// accounts by key; if it is nil, requests need no key.
func NewConfiguration(routes []*Route, accounts map[string]*Account) *Configuration {
	c := &Configuration{
		Services: map[ServiceName]*Service{}, routes: map[string]map[string]*Route{},
		accounts: accounts, keysRequired: accounts != nil,
	}
	for _, r := range routes {
		if c.routes[r.Host] == nil {
			c.routes[r.Host] = map[string]*Route{}
		}
		c.routes[r.Host][r.Prefix] = r
	}
	return c
}

// Route returns the route of the host with the longest prefix of path, and
// whether there is one. It ignores the port and the case of host.
func (c *Configuration) Route(host, path string) (*Route, bool) {
	if h, _, found := strings.Cut(host, ":"); found {
		host = h
	}
	prefixes := c.routes[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := prefixes[path[:end+1]]; found {
			return r, true
		}
	}
	return nil, false
}

// Routes returns all routes, in no particular order.
func (c *Configuration) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, prefixes := range c.routes {
			for _, r := range prefixes {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Account returns the account of the key, and whether there is one.
func (c *Configuration) Account(key string) (*Account, bool) {
	a, found := c.accounts[key]
	return a, found
}

// NeedsKey reports whether requests of the route need a key.
func (c *Configuration) NeedsKey(r *Route) bool { return c.keysRequired && !r.Public }
