package assigner

import "bamboohill/core/localizer"

// setRanks sets the rank of each engine in this entry's own order of preference: by
// EntryRank, those of the own failure domain first while they have about as much spare
// capacity as all. As the rank only decides between engines of about the same cost, a
// prompt goes to another domain before it is late.
func setRanks(p Prompt, engines []engine) {
	share, weight := 1.0, 0.0
	if p.enabled(OwnDomain) {
		share = localizer.Share(len(engines), func(i int) bool { return engines[i].Remote })
	}
	if share > 0 && share < 1 {
		own, all := 0.0, 0.0
		for i := range engines {
			s := spare(p, &engines[i]) / float64(len(engines))
			all += s
			if !engines[i].Remote {
				own += s / share
			}
		}
		weight = localizer.Weight(own, all)
	}
	for i := range engines {
		e := &engines[i]
		e.rank = localizer.Rank(e.EntryRank, e.Remote, share, weight)
	}
}

// spare returns the share of an engine that is not in use, by its slots and by the prefill
// that a prompt would wait for relative to its target.
func spare(p Prompt, e *engine) float64 {
	used := float64(e.Load.Running)/float64(max(1, e.Engine.Slots)) + ratio(e.Load.Prefill, p.Target)
	return max(0, 1-used)
}
