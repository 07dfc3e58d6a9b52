package assigner

import "bamboohill/core/profiler"

// lateCost returns what it costs if the prompt makes a request of a kind late, by the index
// of the kind. It answers a load in which prompts of a less urgent rank are so large that
// one of their answers is worth more than those of all the urgent requests on an engine:
// by values alone, their parts are placed on engines that decode several urgent requests.
// An answer to a more urgent request counts at least as much as the prompt's own, where
// values depend on ranks. With one rank, or values that do not depend on it, it is the
// value of the request.
func (p *Prompt) lateCost(kind int) float64 {
	k := &p.Terms.Kinds[kind]
	if k.Rank >= p.Rank || !p.enabled(Urgency) || !ranked(p.Terms.Valuing) {
		return k.Value
	}
	return max(k.Value, p.Value)
}

func ranked(v profiler.Valuing) bool { return v == profiler.ByRank || v == profiler.BySizeAndRank }
