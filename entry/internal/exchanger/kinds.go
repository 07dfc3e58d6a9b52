package exchanger

import (
	"slices"
	"time"

	"bamboohill/core/loadtracker"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"
	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
)

// tellKinds adds the kinds of a report to a datagram: once or twice a second with all its
// samples, and in each datagram while they may be new to others. Others have their hash,
// several times a second with the samples that have changed.
func (w work) tellKinds(o *wire.Outstanding, r loadtracker.Report, now time.Time) {
	o.KindsHash = hashKinds(r.Kinds)
	w.mu.Lock()
	whole, sampled, some := w.legends.tell(o.GetKindsHash(), r.Samples, now)
	w.mu.Unlock()
	for _, i := range some {
		o.Samples = append(o.Samples, &wire.KindSample{Kind: uint32(i), Recent: encodeSums(r.Samples[i].Recent), Usual: encodeSums(r.Samples[i].Usual)})
	}
	if !whole {
		return
	}
	several := len(services(r.Kinds)) > 1
	o.Kinds = make([]*wire.KindLimits, len(r.Kinds))
	for i, k := range r.Kinds {
		l := &wire.KindLimits{
			PauseMs: uint32(k.Pause.Milliseconds()), TargetMs: uint32(k.Target.Milliseconds()), Rank: uint32(max(0, k.Rank)),
			TimeoutMs: uint32(k.Timeout.Milliseconds()), Resumable: k.Resumable,
		}
		if several {
			l.Service = serviceHash(k.Service)
		}
		if sampled {
			l.Recent, l.Usual = encodeSums(r.Samples[i].Recent), encodeSums(r.Samples[i].Usual)
		}
		o.Kinds[i] = l
	}
}

// services returns the services of kinds by their hashes.
func services(kinds []profiler.Kind) map[uint32]viewer.ServiceName {
	all := map[uint32]viewer.ServiceName{}
	for _, k := range kinds {
		all[serviceHash(k.Service)] = k.Service
	}
	return all
}

// hearKinds returns the kinds of a datagram, and their samples if it has any. The kinds are
// nil, which stands for those of this entry, if only their hash was told and no entry has
// told them yet: nearly always both entries have the same.
func (w work) hearKinds(o *wire.Outstanding) ([]profiler.Kind, []profiler.Sample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all, own := o.GetKinds(), w.loads.Kinds()
	if len(all) == 0 {
		return w.legends.find(o.GetKindsHash(), own, w.decodeKinds), nil
	}
	kinds := w.decodeKinds(all)
	w.legends.learn(o.GetKindsHash(), legend{limits: all, own: own, kinds: kinds})
	var samples []profiler.Sample
	for i, k := range all {
		if k.GetUsual() == nil {
			continue
		}
		if samples == nil {
			samples = make([]profiler.Sample, len(all))
		}
		samples[i] = profiler.Sample{Recent: decodeSums(k.GetRecent()), Usual: decodeSums(k.GetUsual())}
	}
	return kinds, samples
}

func (w work) decodeKinds(all []*wire.KindLimits) []profiler.Kind {
	known := w.servicesOf(all)
	kinds := make([]profiler.Kind, len(all))
	for i, k := range all {
		kinds[i] = profiler.Kind{
			Service: known(k.GetService()), Pause: millis(k.GetPauseMs()), Target: millis(k.GetTargetMs()), Timeout: millis(k.GetTimeoutMs()),
			Rank: int(k.GetRank()), Resumable: k.GetResumable(),
		}
	}
	return kinds
}

// hearUpdates returns the samples of a datagram without kinds.
func hearUpdates(all []*wire.KindSample) []loadtracker.Update {
	var updates []loadtracker.Update
	for _, s := range all {
		updates = append(updates, loadtracker.Update{
			Kind: int(s.GetKind()), Sample: profiler.Sample{Recent: decodeSums(s.GetRecent()), Usual: decodeSums(s.GetUsual())},
		})
	}
	return updates
}

// servicesOf returns the services that the kinds of a datagram name by their hashes. A kind
// without a hash is one of the only service with model engines.
func (w work) servicesOf(all []*wire.KindLimits) func(hash uint32) viewer.ServiceName {
	own := w.loads.Kinds()
	first, one := own.At(0).Service, true
	for i := range own.Len() {
		one = one && own.At(i).Service == first
	}
	if one && !slices.ContainsFunc(all, func(k *wire.KindLimits) bool { return k.GetService() != 0 }) {
		return func(uint32) viewer.ServiceName { return first }
	}
	known := services(own.All())
	if one {
		known[0] = first
	}
	return func(hash uint32) viewer.ServiceName { return known[hash] }
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// serviceHash returns a 32-bit hash of the name of a service.
func serviceHash(name viewer.ServiceName) uint32 { return uint32(xxhash.Sum64String(string(name))) }

func encodeSums(s profiler.Sums) *wire.KindSums {
	return &wire.KindSums{Prompts: float32(s.Prompts), Tokens: float32(s.Tokens), Slots: float32(s.Slots), Held: float32(s.Held)}
}

func decodeSums(s *wire.KindSums) profiler.Sums {
	return profiler.Sums{Prompts: float64(s.GetPrompts()), Tokens: float64(s.GetTokens()), Slots: float64(s.GetSlots()), Held: float64(s.GetHeld())}
}
