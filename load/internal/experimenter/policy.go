package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"

	"bamboohill/core/admitter"
	"bamboohill/core/chooser"
	"bamboohill/core/hinter"
	"bamboohill/core/identifier"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
)

// Policy names a placement and admission policy.
type Policy string

// Policies. Those after Full are variants of it, mostly with one feature disabled.
const (
	RoundRobin         Policy = "round-robin"
	LeastConns         Policy = "least-connections"
	PrefixOnly         Policy = "prefix-only"
	ShortestQueue      Policy = "shortest-queue"
	Full               Policy = "full"
	NoPrefix           Policy = "no-prefix"
	NoOwnPlacements    Policy = "no-own"
	NoBacklogLimit     Policy = "no-bound"
	NoPriority         Policy = "no-priority"
	NoAging            Policy = "no-aging"
	NoDelayCost        Policy = "no-yield"
	NoEarlyReports     Policy = "no-early" // sends no report when a long prompt is accepted
	NoAdmission        Policy = "no-admission"
	AllCandidates      Policy = "no-choices" // considers every server instead of a sample
	AllCandidatesNoOwn Policy = "no-own-no-choices"
	TrueCacheState     Policy = "all-knowing"
)

// Baselines lists the reference policies.
var Baselines = []Policy{RoundRobin, LeastConns, PrefixOnly, ShortestQueue}

// Ablations lists the variants of Full with one feature disabled.
var Ablations = []Policy{NoPrefix, NoOwnPlacements, NoBacklogLimit, NoPriority, NoAging, NoDelayCost, NoEarlyReports, NoAdmission, AllCandidates}

// disabledFeature maps a policy to the router feature that it disables.
var disabledFeature = map[Policy]router.Features{
	NoPrefix: router.Prefix, NoOwnPlacements: router.OwnPlacements, NoBacklogLimit: router.LongBacklogLimit,
	NoPriority: router.Priority, NoAging: router.Aging, NoDelayCost: router.DelayCost, AllCandidatesNoOwn: router.OwnPlacements,
}

// allServers is a number of candidates that exceeds the number of servers.
const allServers = 1 << 20

// newChooser returns the chooser of one entry, with that entry's cache hints.
func newChooser(policy Policy, seed uint64, hints router.Hints) *chooser.Chooser {
	b := &baseline{policy: policy, random: rand.New(rand.NewPCG(seed, 2)), ownRequests: map[identifier.Server]int{}}
	if slices.Contains(Baselines, policy) {
		return chooser.New(chooser.Config{Picker: b})
	}
	config := router.Config{Hints: hints, Seed: seed, Disabled: disabledFeature[policy]}
	if policy == AllCandidates || policy == AllCandidatesNoOwn {
		config.Candidates = allServers
	}
	c := chooser.Config{Picker: router.New(config), Admitter: admitter.New(admitter.Config{})}
	if policy == NoAdmission {
		c.Admitter = nil
	}
	return chooser.New(c)
}

// baseline implements the reference policies. Like every policy, it sees only
// servers that are in service and large enough.
type baseline struct {
	policy      Policy
	random      *rand.Rand
	next        int
	ownRequests map[identifier.Server]int // running requests of this entry
}

// Pick implements chooser.Picker.
func (b *baseline) Pick(job router.Job, servers []watcher.Server, _ time.Time) (router.Choice, error) {
	n := len(servers)
	start := b.random.IntN(n)
	if b.policy == RoundRobin {
		b.next++
		start = b.next % n
	}
	if b.policy == PrefixOnly && len(job.Chain) > 0 {
		start = rendezvousServer(job.Chain[0].Hash, n)
	}
	best := -1
	for i := range n {
		s := &servers[(start+i)%n]
		if slices.Contains(job.Excluded, identifier.Server(s.GetServer())) {
			continue
		}
		if best < 0 || b.load(s) < b.load(&servers[best]) {
			best = (start + i) % n
		}
	}
	if best < 0 {
		return router.Choice{}, &router.NoServerError{Offered: true, RetryAfter: time.Second}
	}
	return router.Choice{Server: servers[best]}, nil
}

// rendezvousServer returns the index of a prefix's server by rendezvous hashing.
func rendezvousServer(prefix uint64, servers int) int {
	best, top := 0, uint64(0)
	for i := range servers {
		if h := hash(prefix, uint64(i)+1); h >= top {
			best, top = i, h
		}
	}
	return best
}

func (b *baseline) load(s *watcher.Server) float64 {
	switch b.policy {
	case LeastConns:
		return float64(b.ownRequests[identifier.Server(s.GetServer())])
	case ShortestQueue:
		return float64(s.GetQueued())
	default:
		return 0
	}
}

// RecordPlacement implements chooser.Picker.
func (b *baseline) RecordPlacement(c router.Choice, _ time.Time) {
	b.ownRequests[identifier.Server(c.Server.GetServer())]++
}

// RecordFirstToken implements chooser.Picker.
func (b *baseline) RecordFirstToken(router.Choice) {}

// RecordEnd implements chooser.Picker.
func (b *baseline) RecordEnd(c router.Choice) {
	b.ownRequests[identifier.Server(c.Server.GetServer())]--
}

// oracle provides hints from the true cache state of the engines.
type oracle struct {
	engines map[identifier.Server]*engine
	list    []*engine
}

func indexedTokens(e *engine, chain hinter.Chain) int64 {
	var n int64
	for _, m := range chain {
		if !e.hashes[m.Hash] {
			break
		}
		n = m.Tokens
	}
	return n
}

// Holders implements router.Hints.
func (o *oracle) Holders(list []hinter.Holder, chain hinter.Chain, most int) []hinter.Holder {
	for _, e := range o.list {
		if n := indexedTokens(e, chain); n > 0 {
			list = append(list, hinter.Holder{Server: identifier.Server(e.id), Tokens: n})
		}
	}
	slices.SortStableFunc(list, func(a, b hinter.Holder) int { return int(b.Tokens - a.Tokens) })
	return list[:min(len(list), most)]
}

// RecordPlacement implements router.Hints.
func (o *oracle) RecordPlacement(identifier.Server, hinter.Chain) {}
