package assigner

import "math/rand/v2"

// Policy decides where a prompt goes, and when.
type Policy interface {
	Choose(p Prompt, all []Candidate) (Plan, Verdict)
}

// Priced is the product's own policy.
type Priced struct {
	// Open sends everybody on at once.
	Open bool
}

// Choose implements Policy.
func (p Priced) Choose(prompt Prompt, all []Candidate) (Plan, Verdict) {
	plan, found := Choose(prompt, all)
	switch {
	case !found:
		return plan, Refuse
	case p.Open:
		return plan, Serve
	}
	return plan, Decide(prompt, plan, all)
}

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

// Policies are the policies by name, for settings. The first is the product's
// own, the others are baselines to compare with.
var Policies = map[string]Policy{"priced": Priced{}, "open": Priced{Open: true}, "least": Least{}, "random": Random{}}
