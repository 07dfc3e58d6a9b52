// Package pacer says how far apart heartbeats must come so that the control
// bytes of an entry stay under a budget, whatever the number of backend servers
// that it hears and whatever else it has to send.
//
// # Usage
//
//	p := pacer.New(pacer.Config{Budget: 3000})
//	p.Note(pacer.Sample{Span: 10 * time.Second, Control: 21_000, Beats: 70, Heartbeats: 11_000})
//	every := p.Every(141)
//
// Heartbeats get what other control traffic leaves of the budget, a quarter of
// it at the least. A Pacer reads no clock; it is safe for concurrent use.
package pacer

import (
	"sync"
	"time"
)

// Defaults of Config, and bounds.
const (
	defaultBudget = 3000 // bytes a second
	// MaxInterval is the most time between two heartbeats of a server.
	MaxInterval = time.Minute
	// firstBytes of one heartbeat and its answer are assumed until some came.
	firstBytes = 180
	least      = 0.25 // part of the budget that is always left to heartbeats
	weight     = 0.3  // of a new sample against those before
)

// Config describes a Pacer. The zero Budget is 3,000 bytes a second.
type Config struct {
	Budget int // bytes a second, both ways
}

// Sample is what an entry counted over a span of time.
type Sample struct {
	Duration       time.Duration
	ControlBytes   int64 // bytes of all control traffic, heartbeats included
	Heartbeats     int64 // heartbeats answered
	HeartbeatBytes int64 // bytes of these and their answers
}

// Pacer follows the samples of one entry.
type Pacer struct {
	budget float64

	mu    sync.Mutex
	other float64 // bytes a second besides heartbeats
	beat  float64 // bytes of one
	seen  bool
}

// New returns a pacer that has seen no sample.
func New(config Config) *Pacer {
	if config.Budget <= 0 {
		config.Budget = defaultBudget
	}
	return &Pacer{budget: float64(config.Budget), beat: firstBytes}
}

// Record takes a sample. One without a span says nothing.
func (p *Pacer) Record(s Sample) {
	if s.Duration <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w := weight
	if !p.seen {
		w = 1
	}
	p.seen = true
	p.other += w * (float64(max(0, s.ControlBytes-s.HeartbeatBytes))/s.Duration.Seconds() - p.other)
	if s.Heartbeats > 0 {
		p.beat += w * (float64(s.HeartbeatBytes)/float64(s.Heartbeats) - p.beat)
	}
}

// Interval returns the time between two heartbeats of each of the servers that are
// heard; none is asked for less than a sidecar's own settings say.
func (p *Pacer) Interval(heard int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := max(p.budget-p.other, least*p.budget)
	seconds := float64(heard) * p.beat / left
	return min(time.Duration(seconds*float64(time.Second)), MaxInterval)
}
