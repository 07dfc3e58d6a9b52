package replayer_test

import (
	"fmt"
	"testing"

	"bamboohill/core/assigner"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// domainSeeds is smaller than seeds, as a replay of many entries takes seconds.
const domainSeeds = 4

// replayDomains returns the mean value share over the seeds, in all and by class, and the
// share of the work in the own domain.
func replayDomains(t *testing.T, l replayer.Load, p assigner.Policy) (value, own float64, classes []float64) {
	t.Helper()
	classes = make([]float64, len(l.Classes))
	var domains replayer.Domains
	for seed := range uint64(domainSeeds) {
		r := replayer.Replay(replayer.Config{Load: l, Policy: p, Seed: seed})
		value += r.ValueShare() / domainSeeds
		for i, c := range r.Classes {
			classes[i] += c.ValueShare() / domainSeeds
		}
		domains.Own += r.Domains.Own
		domains.Other += r.Domains.Other
		domains.PartsOwn += r.Domains.PartsOwn
		domains.PartsOther += r.Domains.PartsOther
	}
	t.Logf("worth %.3f by class %.3f own %.3f parts own %.3f", value, classes, domains.OwnShare(), domains.PartsOwnShare())
	return value, domains.OwnShare(), classes
}

// TestAlternating compares the own failure domain first with an order that knows no domains:
// more work stays in its domain, at no cost.
func TestAlternating(t *testing.T) {
	for name, l := range map[string]replayer.Load{
		"11 entries": replayer.Alternating(11, 54, 1), "26 entries": replayer.Alternating(26, 60, 1.1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, ownBefore, classesBefore := replayDomains(t, l, assigner.CostBased{Disabled: assigner.OwnDomain})
			after, own, classes := replayDomains(t, l, assigner.CostBased{})
			is.True(own > ownBefore+0.2)
			is.True(after > before-0.01)
			for i := range classes {
				is.True(classes[i] > classesBefore[i]-0.03)
			}
		})
	}
}

// TestSmallDomain compares the same where a domain has only two engines left for the entries of
// its callers, which all prefer these.
func TestSmallDomain(t *testing.T) {
	is := is.New(t)
	l := replayer.Alternating(11, 40, 0.7)
	l.DomainOf = func(engine int) int {
		if engine < 2 {
			return 2
		}
		return engine % 2
	}
	before, _, classesBefore := replayDomains(t, l, assigner.CostBased{Disabled: assigner.OwnDomain})
	after, _, classes := replayDomains(t, l, assigner.CostBased{})
	is.True(after > before-0.01)
	for i := range classes {
		is.True(classes[i] > classesBefore[i]-0.03)
	}
}

// TestOneDomain checks that decisions are the same with one failure domain as with none that
// is known.
func TestOneDomain(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		l := replayer.Waves()
		unknown := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{Disabled: assigner.OwnDomain}, Seed: seed})
		l.Domains = 1
		known := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Seed: seed})
		is.Equal(known.Classes, unknown.Classes)
		is.Equal(known.Seconds, unknown.Seconds)
	}
}

// BenchmarkScale reports the value share and the shares of refused and late requests by the
// load of the engines, for the effect of cells whose load differs:
// go test -bench Scale -benchtime 1x ./load/internal/replayer.
func BenchmarkScale(b *testing.B) {
	const runs = 2
	for _, scale := range []float64{0.8, 1, 1.25, 1.5} {
		b.Run(fmt.Sprint(scale), func(b *testing.B) {
			for b.Loop() {
				var sum replayer.Count
				value := 0.0
				for seed := range uint64(runs) {
					l := replayer.Alternating(11, 54, scale)
					l.Domains = 0
					r := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Seed: seed})
					value += r.ValueShare() / runs
					for _, c := range r.Classes {
						sum.Requests += c.Requests
						sum.Refused += c.Refused
						sum.Late += c.Late
					}
				}
				b.ReportMetric(value, "worth")
				b.ReportMetric(float64(sum.Refused)/float64(sum.Requests), "refused")
				b.ReportMetric(float64(sum.Late)/float64(sum.Requests), "late")
			}
		})
	}
}
