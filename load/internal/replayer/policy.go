package replayer

import (
	"math/rand/v2"

	"bamboohill/core/assigner"
)

// Policy decides where a prompt goes, and when.
type Policy interface {
	Choose(p assigner.Prompt, all []assigner.Candidate, random *rand.Rand) (assigner.Plan, assigner.Verdict)
}

// Priced is the product's own policy.
type Priced struct {
	// Open sends everybody on at once.
	Open bool
}

// Choose implements Policy.
func (p Priced) Choose(prompt assigner.Prompt, all []assigner.Candidate, _ *rand.Rand) (assigner.Plan, assigner.Verdict) {
	plan, found := assigner.Choose(prompt, all)
	switch {
	case !found:
		return plan, assigner.Refuse
	case p.Open:
		return plan, assigner.Serve
	}
	return plan, assigner.Decide(prompt, plan, all)
}

// Least sends to the engine with the fewest requests: a baseline.
type Least struct{}

// Choose implements Policy.
func (Least) Choose(p assigner.Prompt, all []assigner.Candidate, random *rand.Rand) (assigner.Plan, assigner.Verdict) {
	best, ties := 0, 0
	for i, c := range all {
		switch {
		case c.Load.Running < all[best].Load.Running:
			best, ties = i, 1
		case c.Load.Running == all[best].Load.Running:
			if ties++; random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return alone(p, all[best]), assigner.Serve
}

// Random sends anywhere: a baseline.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(p assigner.Prompt, all []assigner.Candidate, random *rand.Rand) (assigner.Plan, assigner.Verdict) {
	return alone(p, all[random.IntN(len(all))]), assigner.Serve
}

func alone(p assigner.Prompt, c assigner.Candidate) assigner.Plan {
	return assigner.Plan{Server: c.ID, Reading: c.Engine.ReadTime(p.Tokens), Context: p.Tokens + p.Answer}
}
