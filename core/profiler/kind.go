package profiler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboohill/core/viewer"
)

// MaxKinds is the maximum number of kinds that are told apart. It bounds the size of a
// load, which is copied for each engine at each decision.
const MaxKinds = 16

// Kind is a kind of request: what one service is asked to serve within the same limits.
// It is comparable. Zero limits mean that there is none.
type Kind struct {
	Service   viewer.ServiceName
	Pause     time.Duration // longest pause between two events
	Target    time.Duration // time to the first event
	Timeout   time.Duration // time for the whole request
	Rank      int           // 0 is the most urgent
	Resumable bool          // a stream may continue at another engine
}

// Of returns the kind of the requests that a route sends to a service.
func Of(r *viewer.Route, service viewer.ServiceName) Kind {
	return Kind{Service: service, Pause: r.TargetGap, Target: r.TargetLatency, Timeout: r.Timeout, Rank: r.Priority, Resumable: r.Resumable}
}

func (k Kind) compare(other Kind) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(limit(k.Pause), limit(other.Pause)), cmp.Compare(limit(k.Target), limit(other.Target)),
		cmp.Compare(k.Rank, other.Rank), cmp.Compare(limit(k.Timeout), limit(other.Timeout)), compareBools(k.Resumable, other.Resumable))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// noLimit stands for a limit that is not set: longer than any that a caller waits for.
const noLimit = time.Hour

func limit(d time.Duration) time.Duration {
	if d <= 0 {
		return noLimit
	}
	return d
}

// strictest returns the kind that satisfies both.
func strictest(a, b Kind) Kind {
	a.Pause, a.Target, a.Timeout = stricter(a.Pause, b.Pause), stricter(a.Target, b.Target), stricter(a.Timeout, b.Timeout)
	a.Rank = min(a.Rank, b.Rank)
	a.Resumable = a.Resumable && b.Resumable
	return a
}

func stricter(a, b time.Duration) time.Duration {
	if limit(b) < limit(a) {
		return b
	}
	return a
}

// Weights of the differences between two kinds, relative to a pause or target that
// differs by a factor of e. Pauses and targets decide where a request is placed, ranks
// what its answer is worth; the time limit matters least. Another service is further than
// any difference of limits, since its engines hold other loads.
const (
	rankDistance      = 0.5 // for each rank
	timeoutDistance   = 0.1 // for a factor of e
	resumableDistance = 0.01
	serviceDistance   = 100
)

// point is a kind with the logarithms of its limits.
type point struct {
	Kind
	pause, target, timeout float64
}

func newPoint(k Kind) point {
	return point{Kind: k, pause: math.Log(float64(limit(k.Pause))), target: math.Log(float64(limit(k.Target))), timeout: math.Log(float64(limit(k.Timeout)))}
}

func (p point) distance(other point) float64 {
	d := math.Abs(p.pause-other.pause) + math.Abs(p.target-other.target) + timeoutDistance*math.Abs(p.timeout-other.timeout)
	d += rankDistance * math.Abs(float64(p.Rank-other.Rank))
	if p.Service != other.Service {
		d += serviceDistance
	}
	if p.Resumable != other.Resumable {
		d += resumableDistance
	}
	return d
}

// Kinds is the immutable list of the kinds of a configuration. The zero value holds one
// kind, without limits.
type Kinds struct {
	points   []point
	services map[viewer.ServiceName]*viewer.Service
	index    map[Kind]int // of all kinds of the configuration, also merged ones
}

// NewKinds returns the kinds of the streaming routes to services with model engines. It
// takes about a millisecond for a thousand routes.
func NewKinds(c *viewer.Configuration) *Kinds {
	if c == nil {
		return &Kinds{}
	}
	var all []Kind
	known := map[Kind]bool{}
	for r := range c.Routes() {
		if r.Kind != viewer.Streaming {
			continue
		}
		for _, t := range r.Targets {
			k := Of(r, t.Service)
			if s := c.Services[t.Service]; s != nil && s.Engine != nil && !known[k] {
				known[k] = true
				all = append(all, k)
			}
		}
	}
	result := ListOf(all)
	result.services = c.Services
	return result
}

// ListOf returns the list of the given kinds, of which it merges the nearest until at
// most MaxKinds are left. The result does not depend on the order.
func ListOf(all []Kind) *Kinds {
	all = slices.Clone(all)
	slices.SortFunc(all, Kind.compare)
	all = slices.Compact(all)
	points := make([]point, len(all))
	for i, k := range all {
		points[i] = newPoint(k)
	}
	result := &Kinds{points: merge(points), index: make(map[Kind]int, len(all))}
	for _, k := range all {
		result.index[k] = result.nearest(k)
	}
	return result
}

// merge merges the two nearest neighbors in the sorted list until at most MaxKinds kinds
// are left.
func merge(points []point) []point {
	distances := make([]float64, max(0, len(points)-1))
	for i := range distances {
		distances[i] = points[i].distance(points[i+1])
	}
	for len(points) > MaxKinds {
		i := slices.Index(distances, slices.Min(distances))
		points[i] = newPoint(strictest(points[i].Kind, points[i+1].Kind))
		points = slices.Delete(points, i+1, i+2)
		distances = slices.Delete(distances, i, i+1)
		if i > 0 {
			distances[i-1] = points[i-1].distance(points[i])
		}
		if i < len(distances) {
			distances[i] = points[i].distance(points[i+1])
		}
	}
	return points
}

// Len returns the number of kinds, at least one.
func (k *Kinds) Len() int { return max(1, len(k.points)) }

// At returns the kind with an index below Len.
func (k *Kinds) At(i int) Kind {
	if len(k.points) == 0 {
		return Kind{}
	}
	return k.points[i].Kind
}

// Index returns the index of a kind: its own, that of the kind into which it was merged,
// or that of the nearest one if the configuration does not have it.
func (k *Kinds) Index(kind Kind) int {
	if i, found := k.index[kind]; found {
		return i
	}
	return k.nearest(kind)
}

func (k *Kinds) nearest(kind Kind) int {
	p := newPoint(kind)
	best, least := 0, math.Inf(1)
	for i, other := range k.points {
		if d := p.distance(other); d < least {
			best, least = i, d
		}
	}
	return best
}

// All returns all kinds by their indexes.
func (k *Kinds) All() []Kind {
	all := make([]Kind, k.Len())
	for i := range all {
		all[i] = k.At(i)
	}
	return all
}

// Map returns for each index in a list of kinds the index of the nearest own kind. It
// ignores what lies beyond MaxKinds.
func (k *Kinds) Map(other []Kind) [MaxKinds]int {
	var result [MaxKinds]int
	for i, kind := range other[:min(len(other), MaxKinds)] {
		result[i] = k.Index(kind)
	}
	return result
}

// Equal reports whether two lists hold the same kinds.
func (k *Kinds) Equal(other *Kinds) bool {
	return slices.EqualFunc(k.points, other.points, func(a, b point) bool { return a.Kind == b.Kind })
}
