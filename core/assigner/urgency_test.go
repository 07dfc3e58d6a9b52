package assigner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/loadtracker"
	"bamboohill/core/profiler"

	"github.com/matryer/is"
)

// rankedTerms returns the parameters of reference with ranks 0, 1, 2 from short to long.
func rankedTerms(v profiler.Valuing) *profiler.Parameters {
	p := reference()
	p.Valuing = v
	for i := range p.Kinds {
		p.Kinds[i].Rank = i
	}
	return p
}

// TestUrgentRequestsAreNotMadeLate checks that a large prompt of a less urgent rank is not
// placed on engines where it makes urgent requests pause for too long, whatever its value.
func TestUrgentRequestsAreNotMadeLate(t *testing.T) {
	tests := map[string]struct {
		rank, urgent int
		disabled     assigner.Features
		free         int // engines that decode nothing
		want         assigner.Decision
	}{
		"less urgent":              {rank: 2, urgent: 1, want: assigner.Wait},
		"less urgent, free engine": {rank: 2, urgent: 1, free: 6, want: assigner.Serve},
		"as urgent":                {rank: 0, urgent: 1, want: assigner.Serve},
		"off":                      {rank: 2, urgent: 1, disabled: assigner.Urgency, want: assigner.Serve},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loads := append(repeat(loadtracker.Load{}, test.free), repeat(decoding(test.urgent), 4)...)
			p := long(200_000)
			p.Rank, p.Terms, p.Target = test.rank, rankedTerms(profiler.BySizeAndRank), 8*time.Second
			plan, decision := assigner.CostBased{Disabled: test.disabled}.Choose(p, candidates(loads...))
			is.Equal(decision, test.want)
			if test.free > 0 {
				is.True(plan.Server <= "f")
				for _, h := range plan.Helpers {
					is.True(h <= "f")
				}
			}
		})
	}
}

// TestOneRankSameDecisions checks that decisions do not change with one rank, or where values do not depend on ranks.
func TestOneRankSameDecisions(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		p, all := drawnCase(random)
		p.Rank = random.IntN(3)
		for _, terms := range []*profiler.Parameters{rankedTerms(profiler.BySize), rankedTerms(profiler.ByKind), reference()} {
			p.Terms = terms
			if terms.Kinds[2].Rank == 0 { // one rank
				p.Rank, terms.Valuing = 0, profiler.BySizeAndRank
			}
			plan, decision := assigner.CostBased{}.Choose(p, all)
			samePlan, sameDecision := assigner.CostBased{Disabled: assigner.Urgency}.Choose(p, all)
			is.Equal(plan, samePlan)
			is.Equal(decision, sameDecision)
		}
	}
}
