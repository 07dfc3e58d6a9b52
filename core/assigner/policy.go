package assigner

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Policy decides where a prompt goes, and when.
type Policy interface {
	Choose(p Prompt, all []Candidate) (Plan, Verdict)
}

// Parts names the parts of the product's own policy.
type Parts uint

// Parts that can be switched off, to see what each is worth.
const (
	Helpers  Parts = 1 << iota // prompts read by several engines
	Orders                     // entries' own orders among like engines
	Unheard                    // slots that others may have taken unheard
	Opening                    // short prompts packed on engines that have some
	Ahead                      // reading that goes before others'
	Scarcity                   // the price of reading while engines are scarce
	Waiting                    // prompts that wait at the entry
	Refusing                   // prompts that are refused
)

// partNames are the parts by the names that settings use, in their order.
var partNames = [...]string{"helpers", "orders", "unheard", "opening", "ahead", "scarcity", "waiting", "refusing"}

// Priced is the product's own policy, with some parts switched off.
type Priced struct{ Off Parts }

// Choose implements Policy.
func (p Priced) Choose(prompt Prompt, all []Candidate) (Plan, Verdict) {
	prompt.off = p.Off
	plan, found := Choose(prompt, all)
	if !found {
		return plan, Refuse
	}
	verdict := Decide(prompt, plan, all)
	if verdict == Wait && !prompt.on(Waiting) {
		prompt.Waited += patience(prompt) // as if it had waited
		verdict = Decide(prompt, plan, all)
	}
	if verdict != Serve && !prompt.on(Refusing) {
		verdict = Serve
	}
	return plan, verdict
}

func (p Prompt) on(part Parts) bool { return p.off&part == 0 }

// Least sends to the engine with the fewest requests: a baseline. Source draws
// between equals; nil means the runtime's.
type Least struct{ Source *rand.Rand }

// Choose implements Policy.
func (l Least) Choose(p Prompt, all []Candidate) (Plan, Verdict) {
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
func (r Random) Choose(p Prompt, all []Candidate) (Plan, Verdict) {
	return alone(p, all[draw(r.Source, len(all))]), Serve
}

func draw(source *rand.Rand, n int) int {
	if source == nil {
		return rand.IntN(n)
	}
	return source.IntN(n)
}

func alone(p Prompt, c Candidate) Plan {
	return Plan{Server: c.ID, Reading: c.Engine.ReadTime(p.Tokens), Context: p.Tokens + p.Answer}
}

// Names says which names Named knows.
const Names = "priced, open, least, random, or priced with parts switched off, as priced-helpers-orders"

// Named returns the policy of a name, as settings have it.
func Named(name string) (Policy, bool) {
	switch name {
	case "open":
		return Priced{Off: Refusing}, true
	case "least":
		return Least{}, true
	case "random":
		return Random{}, true
	}
	words := strings.Split(name, "-")
	if words[0] != "priced" {
		return nil, false
	}
	var off Parts
	for _, w := range words[1:] {
		i := slices.Index(partNames[:], w)
		if i < 0 {
			return nil, false
		}
		off |= 1 << i
	}
	return Priced{Off: off}, true
}
