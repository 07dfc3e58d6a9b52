package exchanger

import (
	"encoding/binary"
	"time"

	"bamboohill/core/profiler"
	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
)

// Times of what is told of the kinds.
const (
	// sampleInterval is the time between two datagrams with samples of the kinds. It is half
	// of the shorter window of the estimates, so that they follow a shift of the mix within
	// two seconds also where one datagram of two is lost.
	sampleInterval = 250 * time.Millisecond
	// wholeInterval is the longest time between two datagrams with the samples of all kinds.
	// After a lost one they still come before the last ones expire.
	wholeInterval = 600 * time.Millisecond
	// newKinds is the time for which each datagram has the kinds after they have changed.
	newKinds = time.Second
)

// maxLegends bounds the lists of kinds that are kept: those of the configurations that
// entries have had lately.
const maxLegends = 16

// legend is a list of kinds that an entry told.
type legend struct {
	limits []*wire.KindLimits
	own    *profiler.Kinds // of this entry when kinds was decoded
	kinds  []profiler.Kind
}

// legends decides which datagrams have the kinds, and holds those that other entries have
// told. The zero value is ready for use. It is not safe for concurrent use.
type legends struct {
	told    uint32            // hash of the kinds of the last datagram; 0 before the first one
	since   time.Time         // when it became so
	sampled time.Time         // when a datagram last had the samples of all kinds
	updated time.Time         // when a datagram last had those of any
	samples []profiler.Sample // as last told, by kind
	ages    []time.Time       // when they were told

	known map[uint32]legend // by hash
	order []uint32          // of known, oldest first
}

// tell reports whether the next datagram has kinds, and whether these have samples. If not,
// it returns the indexes of the kinds whose samples it has all the same.
func (l *legends) tell(hash uint32, samples []profiler.Sample, now time.Time) (whole, sampled bool, some []int) {
	if hash != l.told {
		l.told, l.since, l.sampled = hash, now, time.Time{}
	}
	whole = now.Sub(l.since) < newKinds
	if now.Sub(l.sampled) >= wholeInterval || whole && now.Sub(l.updated) >= sampleInterval {
		l.sampled, l.updated = now, now
		l.samples, l.ages = samples, make([]time.Time, len(samples))
		for i := range l.ages {
			l.ages[i] = now
		}
		return true, true, nil
	}
	if whole || now.Sub(l.updated) < sampleInterval {
		return whole, false, nil
	}
	for i, s := range samples {
		if s.Adds(l.samples[i], now.Sub(l.ages[i])) {
			some = append(some, i)
			l.samples[i], l.ages[i] = s, now
		}
	}
	if some != nil {
		l.updated = now
	}
	return false, false, some
}

// learn keeps the kinds that came with a hash. It ignores those without one, of entries that
// tell the kinds in each datagram.
func (l *legends) learn(hash uint32, told legend) {
	if hash == 0 {
		return
	}
	if l.known == nil {
		l.known = map[uint32]legend{}
	}
	if old, found := l.known[hash]; found && old.own == told.own {
		return
	}
	if _, found := l.known[hash]; !found {
		l.order = append(l.order, hash)
	}
	l.known[hash] = told
	if len(l.order) > maxLegends {
		delete(l.known, l.order[0])
		l.order = l.order[1:]
	}
}

// find returns the kinds that came with a hash, or nil. Those of services that this entry did
// not know then are decoded again when its own kinds have changed.
func (l *legends) find(hash uint32, own *profiler.Kinds, decode func([]*wire.KindLimits) []profiler.Kind) []profiler.Kind {
	told, found := l.known[hash]
	if !found {
		return nil
	}
	if told.own != own {
		told.own, told.kinds = own, decode(told.limits)
		l.known[hash] = told
	}
	return told.kinds
}

// hashKinds returns a hash of a list of kinds. It is not 0.
func hashKinds(kinds []profiler.Kind) uint32 {
	h := xxhash.New()
	var buffer [40]byte
	for _, k := range kinds {
		b := binary.LittleEndian.AppendUint64(buffer[:0], uint64(k.Pause.Milliseconds()))
		b = binary.LittleEndian.AppendUint64(b, uint64(k.Target.Milliseconds()))
		b = binary.LittleEndian.AppendUint64(b, uint64(k.Timeout.Milliseconds()))
		b = binary.LittleEndian.AppendUint64(b, uint64(max(0, k.Rank)))
		b = binary.LittleEndian.AppendUint32(b, serviceHash(k.Service))
		if k.Resumable {
			b = append(b, 1)
		}
		_, _ = h.Write(b) // never fails
	}
	return max(1, uint32(h.Sum64()))
}
