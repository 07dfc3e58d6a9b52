package gauger

import (
	"slices"
	"time"

	"bamboohill/core/viewer"
)

// update computes all estimates, at most once per updateInterval.
func (g *Gauger) update(now time.Time) {
	if now.Sub(g.updated) < updateInterval && !g.updated.IsZero() {
		return
	}
	g.updated = now
	if len(g.own) == 0 && len(g.peers) == 0 {
		clear(g.slow)
		return
	}
	g.relate(now)
	merged := g.merge(now)
	slow := make(map[uint32]estimate)
	for hash, e := range merged {
		_, before := g.slow[hash]
		found := e.samples >= e.kind.minimum && e.kind.deviates(e.slowdown, e.samples, deadBand, errorFactor)
		stays := before && e.samples >= 1 && e.kind.deviates(e.slowdown, e.samples, recovered, tellFactor)
		if found || stays {
			slow[hash] = estimate{slowdown: min(MaxSlowdown, e.slowdown), samples: e.samples, entries: e.entries}
		}
	}
	g.slow = slow
}

// relate sets the relative speeds of this entry: those of engines are divided by their
// median over the service, if that is slower than described. Those of plain servers are
// relative to the usual duration at this entry already.
func (g *Gauger) relate(now time.Time) {
	measured := map[viewer.ServiceName][]float64{}
	for _, m := range g.own {
		m.refresh(now)
		if m.weight(now) >= 1 {
			measured[m.service] = append(measured[m.service], m.raw)
		}
	}
	for _, all := range measured {
		slices.Sort(all)
	}
	for _, m := range g.own {
		all := measured[m.service]
		switch {
		case m.weight(now) < 1 || len(all) < minServers:
			m.relative = 0
		case m.kind == passes:
			m.relative = m.raw / max(1, lowerMedian(all))
		default:
			m.relative = m.raw
		}
	}
}

// opinion is the speed of a run by one entry.
type opinion struct{ slowdown, samples float64 }

// merged is the speed of a run by all entries.
type merged struct {
	estimate
	kind    *kind
	service viewer.ServiceName
}

// merge returns a quantile of what the entries know about each run, by their samples. The
// service of runs that this entry has not used itself is unknown; they count as engines,
// as each entry knows the few servers of a plain service.
func (g *Gauger) merge(now time.Time) map[uint32]merged {
	opinions := map[uint32][]opinion{}
	known := map[uint32]*gauge{}
	for _, m := range g.own {
		known[m.hash] = m
		if m.relative > 0 {
			opinions[m.hash] = append(opinions[m.hash], opinion{m.relative, m.weight(now)})
		}
	}
	for _, p := range g.peers {
		if now.Sub(p.received) > peerTimeout {
			continue
		}
		for hash, s := range p.speeds {
			opinions[hash] = append(opinions[hash], opinion{s.Slowdown, s.Samples})
		}
	}
	all := make(map[uint32]merged, len(opinions))
	plain := map[viewer.ServiceName][]float64{}
	for hash, o := range opinions {
		e := merged{kind: passes}
		if m := known[hash]; m != nil {
			e.kind, e.service = m.kind, m.service
		}
		e.slowdown, e.samples = weightedQuantile(o, e.kind.merged)
		e.entries = len(o)
		if e.kind == calls {
			plain[e.service] = append(plain[e.service], e.slowdown)
		}
		all[hash] = e
	}
	for hash, e := range all {
		if speeds := plain[e.service]; e.kind == calls {
			slices.Sort(speeds)
			e.slowdown /= lowerMedian(speeds)
			all[hash] = e
		}
	}
	return all
}

// lowerMedian returns the median of sorted values, the lower one of two.
func lowerMedian(sorted []float64) float64 { return sorted[(len(sorted)-1)/2] }

// weightedQuantile returns a quantile of the speeds by the number of samples, and that
// number.
func weightedQuantile(all []opinion, quantile float64) (slowdown, samples float64) {
	slices.SortFunc(all, func(a, b opinion) int {
		switch {
		case a.slowdown < b.slowdown:
			return -1
		case a.slowdown > b.slowdown:
			return 1
		}
		return 0
	})
	for _, o := range all {
		samples += o.samples
	}
	sum := 0.0
	for _, o := range all {
		if sum += o.samples; sum >= quantile*samples {
			return o.slowdown, samples
		}
	}
	return 1, 0
}
