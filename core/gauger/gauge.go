package gauger

import (
	"math"
	"slices"
	"time"

	"bamboohill/core/viewer"
)

type sample struct {
	ratio float64
	at    time.Time
}

// longWeight is the most that a pass counts for if it is longer than predicted.
const longWeight = 2

// gauge holds the samples of this entry on one run of a server.
type gauge struct {
	service  viewer.ServiceName
	kind     *kind
	hash     uint32
	ring     [maxSamples]sample
	count    int       // samples ever recorded; the newest is at (count-1) % maxSamples
	raw      float64   // quantile of the last samples; 0 if none
	samples  float64   // that raw is computed from; a long pass counts for more, as a slow engine shows fewer
	shown    time.Time // when the newest of them was recorded
	relative float64   // raw, relative to the reference of this entry; 0 if unknown
}

func (m *gauge) add(ratio float64, now time.Time) {
	m.ring[m.count%maxSamples] = sample{ratio: ratio, at: now}
	m.count++
}

// last returns the time of the newest sample.
func (m *gauge) last() time.Time {
	if m.count == 0 {
		return time.Time{}
	}
	return m.ring[(m.count-1)%maxSamples].at
}

// refresh computes raw from the newest samples: those in the window, or as few as make an
// estimate, as a slow server shows few. Without these it keeps the previous result, which
// loses weight.
func (m *gauge) refresh(now time.Time) {
	var buffer [maxSamples]float64
	recent := buffer[:0]
	for i := range min(m.count, maxSamples) {
		s := m.ring[(m.count-1-i)%maxSamples]
		if age := now.Sub(s.at); age > m.kind.longest || age > m.kind.window && len(recent) >= m.kind.own {
			break
		}
		recent = append(recent, s.ratio)
	}
	if len(recent) < m.kind.own {
		return
	}
	slices.Sort(recent)
	m.raw = recent[int(m.kind.quantile*float64(len(recent)-1))]
	m.samples = min(maxSamples, float64(len(recent)))
	if m.kind == passes {
		m.samples = min(maxSamples, m.samples*min(longWeight, max(1, m.raw)))
	}
	m.shown = m.last()
}

// weight returns the number of samples, which halves with each half-life without one.
func (m *gauge) weight(now time.Time) float64 {
	age := now.Sub(m.shown)
	if m.samples == 0 || age > m.kind.memory {
		return 0
	}
	return m.samples * math.Exp2(-float64(max(0, age))/float64(m.kind.halfLife))
}
