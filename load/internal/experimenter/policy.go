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

// Policy names a policy of placement and admission.
type Policy string

// Policies. Those after Full are Full with one part switched off.
const (
	RoundRobin    Policy = "round-robin"
	LeastConns    Policy = "least-connections"
	PrefixOnly    Policy = "prefix-only"
	ShortestQueue Policy = "shortest-queue"
	Full          Policy = "full"
	NoPrefix      Policy = "no-prefix"
	NoOwn         Policy = "no-own"
	NoBound       Policy = "no-bound"
	NoPriority    Policy = "no-priority"
	NoAging       Policy = "no-aging"
	NoYield       Policy = "no-yield"
	NoEarly       Policy = "no-early" // no report as soon as a long prompt is taken
	NoAdmission   Policy = "no-admission"
	NoChoices     Policy = "no-choices" // every server is a candidate
	Herd          Policy = "no-own-no-choices"
	AllKnowing    Policy = "all-knowing"
)

// Baselines holds the policies to compare with.
var Baselines = []Policy{RoundRobin, LeastConns, PrefixOnly, ShortestQueue}

// Parts holds the policies that lack one part.
var Parts = []Policy{NoPrefix, NoOwn, NoBound, NoPriority, NoAging, NoYield, NoEarly, NoAdmission, NoChoices}

// off holds the part of the router that a policy switches off.
var off = map[Policy]router.Features{
	NoPrefix: router.Prefix, NoOwn: router.OwnPlacements, NoBound: router.LongBacklogLimit,
	NoPriority: router.Priority, NoAging: router.Aging, NoYield: router.DelayCost, Herd: router.OwnPlacements,
}

// everyone is more candidates than there are servers.
const everyone = 1 << 20

// newChooser returns the chooser of one entry. The hints are the entry's.
func newChooser(policy Policy, seed uint64, hints router.Hints) *chooser.Chooser {
	b := &baseline{policy: policy, random: rand.New(rand.NewPCG(seed, 2)), own: map[identifier.Server]int{}}
	if slices.Contains(Baselines, policy) {
		return chooser.New(chooser.Config{Picker: b})
	}
	config := router.Config{Hints: hints, Seed: seed, Disabled: off[policy]}
	if policy == NoChoices || policy == Herd {
		config.Candidates = everyone
	}
	c := chooser.Config{Picker: router.New(config), Admitter: admitter.New(admitter.Config{})}
	if policy == NoAdmission {
		c.Admitter = nil
	}
	return chooser.New(c)
}

// baseline is one of the policies to compare with. It knows which servers are
// in service and large enough, as every policy must.
type baseline struct {
	policy Policy
	random *rand.Rand
	turn   int
	own    map[identifier.Server]int // requests of this entry in work
}

// Pick implements chooser.Picker.
func (b *baseline) Pick(job router.Job, servers []watcher.Server, _ time.Time) (router.Choice, error) {
	n := len(servers)
	start := b.random.IntN(n)
	if b.policy == RoundRobin {
		b.turn++
		start = b.turn % n
	}
	if b.policy == PrefixOnly && len(job.Chain) > 0 {
		start = home(job.Chain[0].Hash, n)
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

// home returns the server of a prefix by rendezvous hashing.
func home(prefix uint64, servers int) int {
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
		return float64(b.own[identifier.Server(s.GetServer())])
	case ShortestQueue:
		return float64(s.GetQueued())
	default:
		return 0
	}
}

// RecordPlacement implements chooser.Picker.
func (b *baseline) RecordPlacement(c router.Choice, _ time.Time) {
	b.own[identifier.Server(c.Server.GetServer())]++
}

// RecordFirstToken implements chooser.Picker.
func (b *baseline) RecordFirstToken(router.Choice) {}

// RecordEnd implements chooser.Picker.
func (b *baseline) RecordEnd(c router.Choice) { b.own[identifier.Server(c.Server.GetServer())]-- }

// oracle gives hints from the engines themselves.
type oracle struct {
	engines map[identifier.Server]*engine
	list    []*engine
}

func cachedIn(e *engine, chain hinter.Chain) int64 {
	var n int64
	for _, m := range chain {
		if !e.marks[m.Hash] {
			break
		}
		n = m.Tokens
	}
	return n
}

// Holders implements router.Hints.
func (o *oracle) Holders(list []hinter.Holder, chain hinter.Chain, most int) []hinter.Holder {
	for _, e := range o.list {
		if n := cachedIn(e, chain); n > 0 {
			list = append(list, hinter.Holder{Server: identifier.Server(e.id), Tokens: n})
		}
	}
	slices.SortStableFunc(list, func(a, b hinter.Holder) int { return int(b.Tokens - a.Tokens) })
	return list[:min(len(list), most)]
}

// RecordPlacement implements router.Hints.
func (o *oracle) RecordPlacement(identifier.Server, hinter.Chain) {}
