package forwarder

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, from 0.1 ms to one minute.
const (
	minMicros         = 100
	maxMicros         = 60_000_000
	significantDigits = 2
)

// Meter holds the metrics of an entry. It is safe for concurrent use.
type Meter struct {
	counters expvar.Map

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewMeter returns a meter without metrics.
func NewMeter() *Meter { return &Meter{histograms: map[string]*hdrhistogram.Histogram{}} }

// Add adds n to a counter.
func (m *Meter) Add(name string, n int64) { m.counters.Add(name, n) }

// Set sets a gauge to n.
func (m *Meter) Set(name string, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	m.counters.Set(name, v)
}

// Observe adds a duration to a histogram. Durations outside the range of the
// histograms count as its nearest end.
func (m *Meter) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, found := m.histograms[name]
	if !found {
		h = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		m.histograms[name] = h
	}
	if err := h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)); err != nil {
		m.Add("delays_not_recorded", 1)
	}
}

// Write writes a line "name value" for each counter and gauge, and five lines for
// each histogram: its count and four quantiles in milliseconds.
func (m *Meter) Write(w io.Writer) {
	m.counters.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.histograms {
		fmt.Fprintf(w, "%s_count %d\n", name, h.TotalCount())
		for _, q := range []float64{50, 90, 99, 100} {
			fmt.Fprintf(w, "%s_ms_p%g %.1f\n", name, q, float64(h.ValueAtQuantile(q))/1000)
		}
	}
}
