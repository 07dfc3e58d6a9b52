package assigner

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Policy decides where a prompt goes, and when.
type Policy interface {
	Choose(p Prompt, all []Candidate) (Plan, Decision)
}

// Features names the parts of the product's own policy.
type Features uint

// Parts that can be switched off, to see what each is worth.
const (
	Helpers          Features = 1 << iota // prompts read by several engines
	EntryRanks                            // entries' own orders among like engines
	UnseenPlacements                      // slots that others may have taken unheard
	Packing                               // short prompts packed on engines that have some
	Overtaking                            // reading that goes before others'
	PrefillScarcity                       // the price of reading while engines are scarce
	Queueing                              // prompts that wait at the entry
	Rejecting                             // prompts that are refused
)

// partNames are the parts by the names that settings use, in their order.
var partNames = [...]string{"helpers", "orders", "unheard", "opening", "ahead", "scarcity", "waiting", "refusing"}

// CostBased is the product's own policy, with some parts switched off.
type CostBased struct{ Disabled Features }

// Choose implements Policy.
func (p CostBased) Choose(prompt Prompt, all []Candidate) (Plan, Decision) {
	prompt.off = p.Disabled
	plan, found := Choose(prompt, all)
	if !found {
		return plan, Reject
	}
	verdict := Decide(prompt, plan, all)
	if verdict == Wait && !prompt.on(Queueing) {
		prompt.Waited += patience(prompt) // as if it had waited
		verdict = Decide(prompt, plan, all)
	}
	if verdict != Serve && !prompt.on(Rejecting) {
		verdict = Serve
	}
	return plan, verdict
}

func (p Prompt) on(part Features) bool { return p.off&part == 0 }

// LeastLoaded sends to the engine with the fewest requests: a baseline. Source draws
// between equals; nil means the runtime's.
type LeastLoaded struct{ Source *rand.Rand }

// Choose implements Policy.
func (l LeastLoaded) Choose(p Prompt, all []Candidate) (Plan, Decision) {
	best, ties := 0, 0
	for i, c := range all {
		switch {
		case c.Load.Running < all[best].Load.Running:
			best, ties = i, 1
		case c.Load.Running == all[best].Load.Running:
			if ties++; draw(l.Source, ties) == 0 {
				best = i
			}
		}
	}
	return alone(p, all[best]), Serve
}

// Random sends anywhere: a baseline. Source draws; nil means the runtime's.
type Random struct{ Source *rand.Rand }

// Choose implements Policy.
func (r Random) Choose(p Prompt, all []Candidate) (Plan, Decision) {
	return alone(p, all[draw(r.Source, len(all))]), Serve
}

func draw(source *rand.Rand, n int) int {
	if source == nil {
		return rand.IntN(n)
	}
	return source.IntN(n)
}

func alone(p Prompt, c Candidate) Plan {
	return Plan{Server: c.ID, PrefillTime: c.Engine.PrefillTime(p.Tokens), Context: p.Tokens + p.Answer}
}

// PolicyUsage says which names Named knows.
const PolicyUsage = "priced, open, least, random, or priced with parts switched off, as priced-helpers-orders"

// ParsePolicy returns the policy of a name, as settings have it.
func ParsePolicy(name string) (Policy, bool) {
	switch name {
	case "open":
		return CostBased{Disabled: Rejecting}, true
	case "least":
		return LeastLoaded{}, true
	case "random":
		return Random{}, true
	}
	words := strings.Split(name, "-")
	if words[0] != "priced" {
		return nil, false
	}
	var off Features
	for _, w := range words[1:] {
		i := slices.Index(partNames[:], w)
		if i < 0 {
			return nil, false
		}
		off |= 1 << i
	}
	return CostBased{Disabled: off}, true
}
