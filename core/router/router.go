// Package router places a request on a backend server: the one with the least
// expected time to the first token among a few candidates.
//
// The candidates are a few servers drawn at random (the power of d choices) and
// those that may hold the start of the prompt in their prefix caches. Reports
// lag, so a router corrects them by what it has itself placed since; without
// that, every request between two reports goes to the same server. A server
// whose backlog of long prompts is over a bound takes no more of them while
// another can. A middle prompt, which goes before the long ones, counts what it
// costs them as its own and so leaves their servers alone while others are free.
//
// # Usage
//
//	r := router.New(router.Config{Hints: hints})
//	choice, err := r.Pick(job, view.Servers, time.Now())
//	r.RecordPlacement(choice, time.Now())
//	...                // first token
//	r.RecordFirstToken(choice)
//	...                // end, or refusal
//	r.RecordEnd(choice)
//
// A Router does nothing but decide: the view, the clock and the seed are
// passed in. It is safe for concurrent use.
package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboohill/core/hinter"
	"bamboohill/core/ider"
	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// Bounds of the length classes, in prompt tokens.
const (
	ShortTokens = 4_000   // a short prompt has at most so many
	LongTokens  = 100_000 // a long prompt has at least so many
)

// Defaults of Config.
const (
	defaultCandidates = 2
	defaultHolders    = 3
	defaultBound      = 600_000 // tokens
	defaultLag        = 150 * time.Millisecond
	defaultSpeed      = 50_000.0 // tokens a second
)

// How many times more candidates a longer prompt gets than a short one: its
// choice matters more, and there are fewer of them to crowd together.
const (
	widenMiddle = 3
	widenLong   = 5
)

// maxHolders is how many servers' caches one decision knows of.
const maxHolders = 8

// retryNone is when to come back if no server can take a job.
const retryNone = time.Second

// Features names the parts of the policy.
type Features uint

// Parts that can be switched off.
const (
	Prefix           Features = 1 << iota // candidates and costs by prefix hints
	OwnPlacements                         // correction by own placements
	LongBacklogLimit                      // bound on a server's backlog of long prompts
	Priority                              // priorities among requests at the engine
	Aging                                 // priorities that rise towards the deadline
	DelayCost                             // what a middle prompt costs a long one in work
)

// Hints guesses what servers hold of a prompt.
type Hints interface {
	// Holders appends the servers that may hold the most of a prompt to a list,
	// those with most tokens first, until it has most entries.
	Holders(list []hinter.Holder, chain hinter.Chain, most int) []hinter.Holder
	// RecordPlacement notes that a prompt was placed on a server.
	RecordPlacement(server ider.Server, chain hinter.Chain)
}

// Config describes a Router. Zero values mean the defaults.
type Config struct {
	Hints            Hints         // none if nil
	Candidates       int           // servers drawn at random for a short prompt, 2
	Holders          int           // servers tried for their prefix cache, 3
	LongBacklogLimit int64         // tokens of a server's backlog of long prompts, 600,000
	Lag              time.Duration // age of a report when it is heard, 150 ms
	Speed            float64       // prefill tokens a second of a server that does not say, 50,000
	Seed             uint64        // of the random draws
	Disabled         Features      // parts switched off
}

// Job is what placement needs to know of a request.
type Job struct {
	Kind       wire.Kind
	Service    string
	Model      string
	Version    string
	Adapter    string
	Prompt     int64        // tokens
	Answer     int64        // tokens
	Chain      hinter.Chain // marks of the prompt
	Deadline   time.Time    // zero is none
	AllServers bool         // consider every server, not only a few candidates
	Excluded   []ider.Server
}

// Choice is the server chosen for a job.
type Choice struct {
	Server   watcher.Server
	First    time.Duration // expected until the first token
	Whole    time.Duration // expected until the last token
	Cached   int64         // prompt tokens expected in the prefix cache
	Priority int32         // for the engine, see priority
	id       uint64
	work     int64 // prefill tokens
	memory   int64
	class    class
	chain    hinter.Chain
}

// NoServerError says that no backend server can take a job now.
type NoServerError struct {
	Offered bool          // some server offers the model or service
	Retry   time.Duration // when to come back
}

// Error implements error.
func (e *NoServerError) Error() string { return "router: no backend server" }

// Router chooses servers.
type Router struct {
	config Config
	mu     sync.Mutex
	random *rand.Rand
	next   uint64
	own    map[ider.Server][]placement
	list   []hinter.Holder // scratch of Pick
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
		config.LongBacklogLimit = defaultBound
	}
	if config.Lag <= 0 {
		config.Lag = defaultLag
	}
	if config.Speed <= 0 {
		config.Speed = defaultSpeed
	}
	return &Router{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed+1)), own: map[ider.Server][]placement{},
	}
}

func (r *Router) on(part Features) bool { return r.config.Disabled&part == 0 }

// Pick returns the choice for a job among the servers, which must be in order
// of id. It changes nothing: tell RecordPlacement when the choice is proposed. If no
// server can take the job it returns a *NoneError.
func (r *Router) Pick(job Job, servers []watcher.Server, now time.Time) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := search{r: r, job: &job, servers: servers, now: now, class: classOf(job.Prompt)}
	s.hinted()
	if wanted := s.candidates(); job.AllServers || len(servers) <= 2*wanted {
		s.all()
	} else {
		s.draw(wanted)
		if !s.found || s.best.cost >= s.best.first+penaltyFull {
			s.all()
		}
	}
	if !s.found {
		return Choice{}, &NoServerError{Offered: s.known, Retry: retryNone}
	}
	r.next++
	choice := s.choice()
	choice.id = r.next
	return choice, nil
}

// search is one decision.
type search struct {
	r       *Router
	job     *Job
	servers []watcher.Server
	now     time.Time
	class   class
	known   bool
	found   bool
	best    estimate
	index   int
}

// candidates returns how many servers to draw at random.
func (s *search) candidates() int {
	n := s.r.config.Candidates
	switch s.class {
	case middle:
		n *= widenMiddle
	case long:
		n *= widenLong
	case brief:
	}
	return n
}

// hinted considers the servers that may hold the prompt's start.
func (s *search) hinted() {
	s.r.list = s.r.list[:0]
	if s.r.config.Hints == nil || !s.r.on(Prefix) || len(s.job.Chain) == 0 {
		return
	}
	s.r.list = s.r.config.Hints.Holders(s.r.list, s.job.Chain, maxHolders)
	for _, x := range s.r.list[:min(len(s.r.list), s.r.config.Holders)] {
		i, found := slices.BinarySearchFunc(s.servers, string(x.Server), func(a watcher.Server, id string) int {
			return strings.Compare(a.GetServer(), id)
		})
		if found {
			s.consider(i)
		}
	}
}

// cached returns how many tokens of the prompt a server may hold.
func (s *search) cached(server string) int64 {
	for _, x := range s.r.list {
		if string(x.Server) == server {
			return min(x.Tokens, s.job.Prompt-1)
		}
	}
	return 0
}

// draw considers servers at random until enough of them could take the job.
func (s *search) draw(wanted int) {
	const tries = 4
	for range wanted * tries {
		i := s.r.random.IntN(len(s.servers))
		if s.consider(i) {
			wanted--
		}
		if wanted == 0 {
			return
		}
	}
}

// all considers every server, from a random one on.
func (s *search) all() {
	if len(s.servers) == 0 {
		return
	}
	start := s.r.random.IntN(len(s.servers))
	for i := range s.servers {
		s.consider((start + i) % len(s.servers))
	}
}

// consider keeps a server if it is the best so far, and reports whether it
// could take the job.
func (s *search) consider(i int) bool {
	server := &s.servers[i]
	if !Offers(s.job, server.Report) {
		return false
	}
	s.known = true
	if server.GetState() != wire.State_STATE_OPEN || slices.Contains(s.job.Excluded, ider.Server(server.GetServer())) {
		return false
	}
	if s.job.Kind == wire.Kind_KIND_MODEL && server.GetMemory() < s.job.Prompt+s.job.Answer {
		return false
	}
	e := s.estimate(server)
	if !s.found || e.cost < s.best.cost {
		s.found, s.best, s.index = true, e, i
	}
	return true
}

func (s *search) choice() Choice {
	e := s.best
	return Choice{
		Server: s.servers[s.index], First: seconds(e.first), Whole: seconds(e.whole), Cached: e.cached,
		Priority: s.priority(e), work: e.work, memory: s.job.Prompt + s.job.Answer, class: s.class, chain: s.job.Chain,
	}
}

// Offers reports whether a server has what a job asks for.
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
