package loadtracker

import (
	"slices"
	"time"

	"bamboohill/core/profiler"
	"bamboohill/core/viewer"
)

// Report is what an entry tells others.
type Report struct {
	Loads   map[uint32]Load   // by Hash of the backend server
	Demand  float64           // prefill demand in engines
	Kinds   []profiler.Kind   // by whose indexes Loads count requests; nil for those of the receiver
	Samples []profiler.Sample // what it has seen of Kinds; nil if the report has none
	Updates []Update          // what it has seen of some of Kinds; empty if the report has Samples
}

// Update is what an entry has seen of one kind.
type Update struct {
	Kind   int // its index
	Sample profiler.Sample
}

// derivedAge is the age up to which derived parameters are used again. It is short against
// the windows of the estimates.
const derivedAge = 100 * time.Millisecond

type derived struct {
	at         time.Time
	engines    int
	parameters *profiler.Parameters
}

// Value sets how answers are valued.
func (t *Tracker) Value(v profiler.Valuing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.valuing = v
	clear(t.parameters)
}

// Configure sets the kinds of requests to those of a configuration. It costs little if
// the configuration is the one that was set last. Requests that run are counted as the
// nearest new kinds from then on, those of other entries too. An older configuration than
// the last one is ignored: a caller may have read it before it was replaced.
func (t *Tracker) Configure(c *viewer.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c == t.configuration || t.configuration != nil && c.Era == t.configuration.Era && c.Revision < t.configuration.Revision {
		return
	}
	kinds := profiler.NewKinds(c)
	same := kinds.Equal(t.kinds)
	t.configuration, t.kinds = c, kinds
	clear(t.parameters)
	if same {
		return
	}
	t.estimates.Retain(kinds)
	for _, s := range t.servers {
		s.load.Decoding, s.load.Prefilling = Counts{}, Counts{}
	}
	for _, a := range t.attempts {
		a.kind = kinds.Index(a.work.Kind)
		for id := range a.remaining {
			t.servers[id].load.Prefilling[a.kind]++
		}
		if a.decoding {
			t.servers[a.work.Server].load.Decoding[a.kind]++
		}
	}
	for name, p := range t.peers {
		p.loads = t.ownKinds(p.report)
		t.peers[name] = p
	}
}

// Kinds returns the kinds by whose indexes loads count requests.
func (t *Tracker) Kinds() *profiler.Kinds {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kinds
}

// Parameters returns the parameters of the cost model for a service with the given number
// of engines.
func (t *Tracker) Parameters(service viewer.ServiceName, engines int, now time.Time) *profiler.Parameters {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, found := t.parameters[service]
	if !found || now.Sub(d.at) > derivedAge || d.engines != engines {
		d = derived{at: now, engines: engines, parameters: profiler.Derive(t.kinds, service, t.estimates.Traffic(t.kinds, now), engines, t.valuing)}
		t.parameters[service] = d
	}
	return d.parameters
}

// Traffic returns what all entries have recently seen of each kind.
func (t *Tracker) Traffic(now time.Time) profiler.Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimates.Traffic(t.kinds, now)
}

// Report returns this entry's report, with Loads by the id of the backend server instead
// of its hash, without those at which it has no outstanding work.
func (t *Tracker) Report(now time.Time) (Report, map[viewer.ServerID]Load) {
	own, _ := t.PrefillDemand(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Demand: own, Kinds: t.kinds.All(), Samples: make([]profiler.Sample, t.kinds.Len())}
	for i, k := range r.Kinds {
		r.Samples[i] = t.estimates.Own(k, now)
	}
	return r, t.ownLoads(now)
}

// ApplyPeerReport replaces what another entry has told. Samples are kept if the report
// has none.
func (t *Tracker) ApplyPeerReport(entry string, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[entry] = peer{loads: t.ownKinds(r), report: r, received: now, demand: r.Demand}
	if r.Samples == nil {
		t.update(entry, r, now)
		return
	}
	t.estimates.ApplyPeer(entry, r.Kinds, r.Samples, now)
}

// update applies the updates of a report, unless its kinds are not known.
func (t *Tracker) update(entry string, r Report, now time.Time) {
	if len(r.Updates) == 0 || len(r.Kinds) == 0 {
		return
	}
	kinds, samples := make([]profiler.Kind, 0, len(r.Kinds)), make([]profiler.Sample, 0, len(r.Kinds))
	for _, u := range r.Updates {
		if u.Kind < len(r.Kinds) {
			kinds, samples = append(kinds, r.Kinds[u.Kind]), append(samples, u.Sample)
		}
	}
	t.estimates.UpdatePeer(entry, kinds, samples, now)
}

// legend says how the kinds of a report map to own kinds.
type legend struct {
	theirs []profiler.Kind
	own    *profiler.Kinds
	to     [profiler.MaxKinds]int
	same   bool // each kind maps to its own index
}

// legendOf returns the legend for the kinds of a report. Entries with one configuration
// tell the same kinds, so that the last legend is nearly always the one that is asked for.
func (t *Tracker) legendOf(theirs []profiler.Kind) *legend {
	if l := &t.legend; l.own == t.kinds && slices.Equal(l.theirs, theirs) {
		return l
	}
	l := legend{theirs: theirs, own: t.kinds, to: t.kinds.Map(theirs), same: true}
	for i, to := range l.to[:min(len(theirs), profiler.MaxKinds)] {
		l.same = l.same && to == i
	}
	t.legend = l
	return &t.legend
}

// ownKinds returns the loads of a report by own kinds.
func (t *Tracker) ownKinds(r Report) map[uint32]Load {
	if r.Kinds == nil {
		return r.Loads
	}
	legend := t.legendOf(r.Kinds)
	if legend.same {
		return r.Loads
	}
	result := make(map[uint32]Load, len(r.Loads))
	for id, l := range r.Loads {
		l.Decoding, l.Prefilling = l.Decoding.mapped(&legend.to), l.Prefilling.mapped(&legend.to)
		result[id] = l
	}
	return result
}

// Encoding of a number of requests of a kind: the number, the index of the kind, and
// whether they decode, in one integer that takes a byte or two in a datagram.
const (
	countUnit = 2 * profiler.MaxKinds
	kindUnit  = 2
)

// EncodeCounts returns the numbers of requests by kind, without zeros.
func (l *Load) EncodeCounts() []uint32 {
	var all []uint32
	for i := range profiler.MaxKinds {
		if n := l.Prefilling[i]; n > 0 {
			all = append(all, uint32(n)*countUnit+uint32(i)*kindUnit)
		}
		if n := l.Decoding[i]; n > 0 {
			all = append(all, uint32(n)*countUnit+uint32(i)*kindUnit+1)
		}
	}
	return all
}

// DecodeCounts adds what EncodeCounts has returned.
func (l *Load) DecodeCounts(all []uint32) {
	for _, code := range all {
		n, kind := int32(code/countUnit), code%countUnit/kindUnit
		if code%kindUnit == 1 {
			l.Decoding[kind] += n
		} else {
			l.Prefilling[kind] += n
		}
	}
}
