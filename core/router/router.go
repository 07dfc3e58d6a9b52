// Package router places a request on the backend server with the least expected
// time to the first token among a few candidates.
//
// The candidates are a few servers drawn at random (the power of d choices) and
// those that may hold a prefix of the prompt in their prefix caches. Reports of
// servers are delayed, so a router adds the requests that it has placed since
// the latest report; otherwise all requests between two reports would go to the
// same server. A server whose backlog of long prompts exceeds a limit gets no
// more of them while another server can take them. A medium prompt is served
// before long ones; the delay that it causes them is added to its own cost, so
// that servers with long prompts are avoided while others are free.
//
// # Usage
//
//	r := router.New(router.Config{Hints: hints})
//	choice, err := r.Pick(job, view.Servers, time.Now())
//	r.RecordPlacement(choice, time.Now())
//	...                // first token
//	r.RecordFirstToken(choice)
//	...                // end or refusal
//	r.RecordEnd(choice)
//
// A Router does no I/O: the view, the time and the random seed are passed in. It
// is safe for concurrent use.
package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboohill/core/hinter"
	"bamboohill/core/identifier"
	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// Bounds of the length classes, in prompt tokens.
const (
	ShortTokens = 4_000   // maximum of a short prompt
	LongTokens  = 100_000 // minimum of a long prompt
)

// Defaults of Config.
const (
	defaultCandidates       = 2
	defaultHolders          = 3
	defaultLongBacklogLimit = 600_000 // tokens
	defaultReportAge        = 150 * time.Millisecond
	defaultPrefillRate      = 50_000.0 // tokens per second
)

// Factors by which longer prompts get more candidates than short ones. Their
// placement matters more, and they are fewer, so they are less likely to crowd
// on the same server.
const (
	widenMedium = 3
	widenLong   = 5
)

// maxHolders is the maximum number of servers whose cache hints one decision
// uses.
const maxHolders = 8

// retryNoServer is the retry delay if no server can take a job.
const retryNoServer = time.Second

// Features is a set of optional features of the policy.
type Features uint

// Features that can be disabled.
const (
	Prefix           Features = 1 << iota // candidates and costs from hints on prefix caches
	OwnPlacements                         // correction of reports by this router's placements
	LongBacklogLimit                      // limit of a server's backlog of long prompts
	Priority                              // priorities of requests at the engine
	Aging                                 // priorities that rise towards the deadline
	DelayCost                             // cost of the delay that a medium prompt causes long ones
)

// Hints tells which servers may hold a prefix of a prompt.
type Hints interface {
	// Holders appends to list the servers that may hold the longest prefixes of
	// a prompt, longest first, until the list has limit entries.
	Holders(list []hinter.Holder, chain hinter.Chain, limit int) []hinter.Holder
	// RecordPlacement records that a prompt was placed on a server.
	RecordPlacement(server identifier.Server, chain hinter.Chain)
}

// Config configures a Router. Zero values select the defaults.
type Config struct {
	Hints            Hints         // no hints if nil
	Candidates       int           // servers drawn at random for a short prompt; default 2
	Holders          int           // servers considered for their prefix cache; default 3
	LongBacklogLimit int64         // tokens in a server's backlog of long prompts; default 600,000
	ReportAge        time.Duration // age of a report when it is received; default 150 ms
	PrefillRate      float64       // tokens per second of a server that reports no rate; default 50,000
	Seed             uint64        // of the random number generator
	Disabled         Features      // features to disable
}

// Job holds the properties of a request that placement depends on.
type Job struct {
	Kind       wire.Kind
	Service    string
	Model      string
	Version    string              // any if empty
	Adapter    string              // none if empty
	Prompt     int64               // tokens
	Answer     int64               // tokens
	Chain      hinter.Chain        // prefix hashes of the prompt
	Deadline   time.Time           // zero means no deadline
	AllServers bool                // consider all servers instead of a few candidates
	Excluded   []identifier.Server // servers that must not be chosen
}

// Choice is the server chosen for a job. For a plain service the expected times
// are 0.
type Choice struct {
	Server        watcher.Server
	FirstToken    time.Duration // expected time to the first token
	LastToken     time.Duration // expected time to the last token
	Cached        int64         // prompt tokens expected in the prefix cache
	Priority      int32         // for the engine: time until the request becomes urgent, in milliseconds
	id            uint64
	prefillTokens int64
	memoryTokens  int64
	class         class
	chain         hinter.Chain
}

// NoServerError reports that no backend server can take a job now.
type NoServerError struct {
	Offered    bool          // at least one server offers the model or service
	RetryAfter time.Duration // delay before the next attempt
}

// Error implements error.
func (e *NoServerError) Error() string { return "router: no backend server" }

// Router chooses backend servers.
type Router struct {
	config     Config
	mu         sync.Mutex
	random     *rand.Rand
	next       uint64
	placements map[identifier.Server][]placement
	holders    []hinter.Holder // buffer reused by Pick
}

// New returns a router without placements.
func New(config Config) *Router {
	if config.Candidates <= 0 {
		config.Candidates = defaultCandidates
	}
	if config.Holders <= 0 {
		config.Holders = defaultHolders
	}
	if config.LongBacklogLimit <= 0 {
		config.LongBacklogLimit = defaultLongBacklogLimit
	}
	if config.ReportAge <= 0 {
		config.ReportAge = defaultReportAge
	}
	if config.PrefillRate <= 0 {
		config.PrefillRate = defaultPrefillRate
	}
	return &Router{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed+1)), placements: map[identifier.Server][]placement{},
	}
}

func (r *Router) enabled(f Features) bool { return r.config.Disabled&f == 0 }

// Pick returns the choice for a job among the servers, which must be sorted by
// id. It records nothing: call RecordPlacement when the choice is proposed. If
// no server can take the job, Pick returns a *NoServerError.
func (r *Router) Pick(job Job, servers []watcher.Server, now time.Time) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := search{router: r, job: &job, servers: servers, now: now, class: classOf(job.Prompt)}
	s.considerHolders()
	if wanted := s.candidates(); job.AllServers || len(servers) <= 2*wanted {
		s.considerAll()
	} else {
		s.considerRandom(wanted)
		if !s.found || s.best.cost >= s.best.firstToken+penaltyFull {
			s.considerAll()
		}
	}
	if !s.found {
		return Choice{}, &NoServerError{Offered: s.offered, RetryAfter: retryNoServer}
	}
	r.next++
	choice := s.choice()
	choice.id = r.next
	return choice, nil
}

// search is the state of one decision.
type search struct {
	router    *Router
	job       *Job
	servers   []watcher.Server
	now       time.Time
	class     class
	offered   bool
	found     bool
	best      estimate
	bestIndex int
}

// candidates returns the number of servers to draw at random.
func (s *search) candidates() int {
	n := s.router.config.Candidates
	switch s.class {
	case medium:
		n *= widenMedium
	case long:
		n *= widenLong
	case short:
	}
	return n
}

// considerHolders considers the servers that may hold a prefix of the prompt.
func (s *search) considerHolders() {
	s.router.holders = s.router.holders[:0]
	if s.router.config.Hints == nil || !s.router.enabled(Prefix) || len(s.job.Chain) == 0 {
		return
	}
	s.router.holders = s.router.config.Hints.Holders(s.router.holders, s.job.Chain, maxHolders)
	for _, x := range s.router.holders[:min(len(s.router.holders), s.router.config.Holders)] {
		i, found := slices.BinarySearchFunc(s.servers, string(x.Server), func(a watcher.Server, id string) int {
			return strings.Compare(a.GetServer(), id)
		})
		if found {
			s.consider(i)
		}
	}
}

// cached returns the number of tokens of the prompt that a server may hold.
func (s *search) cached(server string) int64 {
	for _, x := range s.router.holders {
		if string(x.Server) == server {
			return min(x.Tokens, s.job.Prompt-1)
		}
	}
	return 0
}

// considerRandom considers servers drawn at random until the wanted number of
// them could take the job, in at most four draws for each.
func (s *search) considerRandom(wanted int) {
	const tries = 4
	for range wanted * tries {
		i := s.router.random.IntN(len(s.servers))
		if s.consider(i) {
			wanted--
		}
		if wanted == 0 {
			return
		}
	}
}

// considerAll considers every server, starting at a random one.
func (s *search) considerAll() {
	if len(s.servers) == 0 {
		return
	}
	start := s.router.random.IntN(len(s.servers))
	for i := range s.servers {
		s.consider((start + i) % len(s.servers))
	}
}

// consider keeps a server if its cost is the lowest so far, and reports whether
// it could take the job.
func (s *search) consider(i int) bool {
	server := &s.servers[i]
	if !Offers(s.job, server.Report) {
		return false
	}
	s.offered = true
	if server.GetState() != wire.State_STATE_OPEN || slices.Contains(s.job.Excluded, identifier.Server(server.GetServer())) {
		return false
	}
	if s.job.Kind == wire.Kind_KIND_MODEL && server.GetMemory() < s.job.Prompt+s.job.Answer {
		return false
	}
	e := s.estimate(server)
	if !s.found || e.cost < s.best.cost {
		s.found, s.best, s.bestIndex = true, e, i
	}
	return true
}

func (s *search) choice() Choice {
	e := s.best
	return Choice{
		Server: s.servers[s.bestIndex], FirstToken: seconds(e.firstToken), LastToken: seconds(e.lastToken), Cached: e.cached,
		Priority: s.priority(e), prefillTokens: e.prefillTokens, memoryTokens: s.job.Prompt + s.job.Answer, class: s.class, chain: s.job.Chain,
	}
}

// Offers reports whether a server provides the model or service that a job asks for.
func Offers(job *Job, report *wire.Report) bool {
	if job.Kind != report.GetKind() {
		return false
	}
	if job.Kind == wire.Kind_KIND_SERVICE {
		return job.Service == report.GetService()
	}
	for _, o := range report.GetOffers() {
		if o.GetModel() == job.Model && (job.Version == "" || o.GetVersion() == job.Version) &&
			(job.Adapter == "" || slices.Contains(o.GetAdapters(), job.Adapter)) {
			return true
		}
	}
	return false
}
