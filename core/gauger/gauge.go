package gauger

import (
	"math"
	"slices"
	"time"

	"bamboohill/core/viewer"
)

// ringSize is the number of samples kept of one run.
const ringSize = 64

type sample struct {
	ratio float64
	at    time.Time
}

// gauge holds the samples of this entry on one run of a server.
type gauge struct {
	service  viewer.ServiceName
	kind     *kind
	hash     uint32
	ring     [ringSize]sample
	count    int       // samples ever recorded; the newest is at (count-1) % ringSize
	raw      float64   // quantile of the last samples; 0 if none
	samples  float64   // that raw is computed from
	shown    time.Time // when the newest of them was recorded
	relative float64   // raw, relative to the reference of this entry; 0 if unknown
}

func (m *gauge) add(ratio float64, now time.Time) {
	m.ring[m.count%ringSize] = sample{ratio: ratio, at: now}
	m.count++
}

// last returns the time of the newest sample.
func (m *gauge) last() time.Time {
	if m.count == 0 {
		return time.Time{}
	}
	return m.ring[(m.count-1)%ringSize].at
}

// refresh computes raw from the samples in the window. If they are too few it keeps
// the previous result, which loses weight.
func (m *gauge) refresh(now time.Time) {
	var buffer [ringSize]float64
	recent := buffer[:0]
	for _, s := range m.ring[:min(m.count, ringSize)] {
		if now.Sub(s.at) <= m.kind.window {
			recent = append(recent, s.ratio)
		}
	}
	if len(recent) == 0 || m.kind == passes && float64(len(recent)) < m.kind.minimum {
		return
	}
	slices.Sort(recent)
	m.raw = recent[int(m.kind.quantile*float64(len(recent)-1))]
	m.samples = min(maxSamples, float64(len(recent)))
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
