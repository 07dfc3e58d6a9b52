package assigner

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Policy decides which engines serve a prompt, and whether now or later.
type Policy interface {
	// Choose returns a plan for the prompt and what to do with it now.
	Choose(p Prompt, all []Candidate) (Plan, Decision)
}

// Features is a set of features of CostBased.
type Features uint

// Features that can be disabled, to measure their effect.
const (
	Helpers          Features = 1 << iota // prefill split among several engines
	EntryRanks                            // different order of equal engines at each entry
	UnseenPlacements                      // estimate of slots that other entries have taken meanwhile
	Packing                               // short prompts packed on engines that decode others
	Overtaking                            // cost of the delay of prompts whose prefill is overtaken
	PrefillScarcity                       // opportunity cost of prefill while engines are scarce
	Queueing                              // waiting at the entry for free capacity
	Refusing                              // refusal of prompts that would be late
	OwnDomain                             // engines in the own failure domain first in the order of equal engines
	Urgency                               // more urgent requests made late count at least as much as the prompt
)

// featureNames are the names of the features in settings, in the order of their
// bits.
var featureNames = [...]string{"helpers", "orders", "unheard", "opening", "ahead", "scarcity", "waiting", "refusing", "domains", "urgency"}

// CostBased is the policy used in production: it minimizes expected cost.
// Features in Disabled are off.
type CostBased struct {
	Disabled Features
	Tuning   *Tuning // nil for DefaultTuning
}

// Choose implements Policy.
func (p CostBased) Choose(prompt Prompt, all []Candidate) (Plan, Decision) {
	prompt.disabled, prompt.tuning = p.Disabled, p.Tuning
	prompt = prompt.complete()
	plan, found := Choose(prompt, all)
	if !found {
		return plan, Refuse
	}
	decision := Decide(prompt, plan, all)
	if decision == Wait && !prompt.enabled(Queueing) {
		prompt.Waited += maxWait(prompt) // decide as after the maximum wait
		decision = Decide(prompt, plan, all)
	}
	if decision != Serve && !prompt.enabled(Refusing) {
		decision = Serve
	}
	return plan, decision
}

func (p Prompt) enabled(f Features) bool { return p.disabled&f == 0 }

// LeastLoaded chooses the engine with the fewest requests. It is a baseline for
// comparison. Source breaks ties; nil means the global generator. Choose panics if
// there are no candidates.
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
	return planAlone(p, all[best]), Serve
}

// Random chooses an engine at random. It is a baseline for comparison. Source is
// the random number generator; nil means the global one. Choose panics if there are
// no candidates.
type Random struct{ Source *rand.Rand }

// Choose implements Policy.
func (r Random) Choose(p Prompt, all []Candidate) (Plan, Decision) {
	return planAlone(p, all[draw(r.Source, len(all))]), Serve
}

func draw(source *rand.Rand, n int) int {
	if source == nil {
		return rand.IntN(n)
	}
	return source.IntN(n)
}

func planAlone(p Prompt, c Candidate) Plan {
	return Plan{Server: c.ID, PrefillTime: c.Engine.PrefillTime(p.Tokens), Context: p.Tokens + p.Answer}
}

// PolicyUsage describes the names that ParsePolicy accepts.
const PolicyUsage = "priced, open, least, random, or priced with parts switched off, as priced-helpers-orders"

// ParsePolicy returns the policy with a name from settings. It reports false if
// the name is unknown.
func ParsePolicy(name string) (Policy, bool) {
	switch name {
	case "open":
		return CostBased{Disabled: Refusing}, true
	case "least":
		return LeastLoaded{}, true
	case "random":
		return Random{}, true
	}
	words := strings.Split(name, "-")
	if words[0] != "priced" {
		return nil, false
	}
	var disabled Features
	for _, w := range words[1:] {
		i := slices.Index(featureNames[:], w)
		if i < 0 {
			return nil, false
		}
		disabled |= 1 << i
	}
	return CostBased{Disabled: disabled}, true
}
