package forwarder

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms: a tenth of a millisecond to a minute.
const (
	leastMicros = 100
	mostMicros  = 60_000_000
	digits      = 2
)

// Meter counts what a forwarder does. It is safe for concurrent use.
type Meter struct {
	counters expvar.Map

	mu     sync.Mutex
	delays map[string]*hdrhistogram.Histogram
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter { return &Meter{delays: map[string]*hdrhistogram.Histogram{}} }

// Add adds to a counter.
func (m *Meter) Add(name string, n int64) { m.counters.Add(name, n) }

// Set sets a gauge.
func (m *Meter) Set(name string, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	m.counters.Set(name, v)
}

// Observe enters a delay into a histogram.
func (m *Meter) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, found := m.delays[name]
	if !found {
		h = hdrhistogram.New(leastMicros, mostMicros, digits)
		m.delays[name] = h
	}
	if err := h.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros)); err != nil {
		m.Add("delays_not_recorded", 1)
	}
}

// Write writes one line "name value" for each counter, and five for each
// histogram: its count and quantiles in milliseconds.
func (m *Meter) Write(w io.Writer) {
	m.counters.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.delays {
		fmt.Fprintf(w, "%s_count %d\n", name, h.TotalCount())
		for _, q := range []float64{50, 90, 99, 100} {
			fmt.Fprintf(w, "%s_ms_p%g %.1f\n", name, q, float64(h.ValueAtQuantile(q))/1000)
		}
	}
}
