// Package pacer computes the interval between heartbeats such that the control
// traffic of an entry stays within a budget, whatever the number of backend
// servers that report to it and the amount of its other control traffic.
//
// # Usage
//
//	p := pacer.New(pacer.Config{Budget: 3000})
//	p.Record(pacer.Sample{
//		Duration: 10 * time.Second, ControlBytes: 21_000, Heartbeats: 70, HeartbeatBytes: 11_000,
//	})
//	interval := p.Interval(141)
//
// Heartbeats get what other control traffic leaves of the budget, but at least a
// quarter of it. A Pacer reads no clock; it is safe for concurrent use.
package pacer

import (
	"sync"
	"time"
)

// Defaults and bounds.
const (
	defaultBudget = 3000 // bytes/s
	// MaxInterval is the longest interval between two heartbeats of a server.
	MaxInterval = time.Minute
	// initialHeartbeatBytes is the assumed size of a heartbeat and its reply until
	// a sample contains heartbeats.
	initialHeartbeatBytes = 180
	minFraction           = 0.25 // of the budget, always available to heartbeats
	sampleWeight          = 0.3  // of a new sample in the moving averages
)

// Config configures a Pacer.
type Config struct {
	Budget int // bytes/s in both directions, default 3,000
}

// Sample is the traffic that an entry counted over a period.
type Sample struct {
	Duration       time.Duration
	ControlBytes   int64 // all control traffic, including heartbeats
	Heartbeats     int64 // number of heartbeats with a reply
	HeartbeatBytes int64 // of these heartbeats and their replies
}

// Pacer averages the samples of one entry. Create it with New.
type Pacer struct {
	budget float64

	mu             sync.Mutex
	otherRate      float64 // bytes/s of control traffic other than heartbeats
	heartbeatBytes float64 // size of a heartbeat and its reply
	sampled        bool
}

// New returns a Pacer without samples.
func New(config Config) *Pacer {
	if config.Budget <= 0 {
		config.Budget = defaultBudget
	}
	return &Pacer{budget: float64(config.Budget), heartbeatBytes: initialHeartbeatBytes}
}

// Record adds a sample to the averages. A sample without a positive duration is
// ignored.
func (p *Pacer) Record(s Sample) {
	if s.Duration <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w := sampleWeight
	if !p.sampled {
		w = 1
	}
	p.sampled = true
	p.otherRate += w * (float64(max(0, s.ControlBytes-s.HeartbeatBytes))/s.Duration.Seconds() - p.otherRate)
	if s.Heartbeats > 0 {
		p.heartbeatBytes += w * (float64(s.HeartbeatBytes)/float64(s.Heartbeats) - p.heartbeatBytes)
	}
}

// Interval returns the interval between two heartbeats of each server that keeps
// the control traffic within the budget if that many servers report to this
// entry, at most MaxInterval. A sidecar doesn't go below the interval of its own
// settings.
func (p *Pacer) Interval(servers int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	available := max(p.budget-p.otherRate, minFraction*p.budget)
	seconds := float64(servers) * p.heartbeatBytes / available
	return min(time.Duration(seconds*float64(time.Second)), MaxInterval)
}
