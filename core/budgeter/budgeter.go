// Package budgeter bounds how often requests are sent once more, for each
// service over a sliding window, as a share of a budget that all entries have
// together. It answers the load pattern in which failures breed retries: a
// service that fails much gets little more than its callers' own requests.
//
// # Usage
//
//	b := budgeter.New(budgeter.Config{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
//	b.First(service, now)
//	if b.Again(service, entries, now) { ... }
package budgeter

import (
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Defaults of Config: a fifth of the requests, and ten.
const (
	defaultRatio  = 0.2
	defaultSlack  = 10
	defaultWindow = 10 * time.Second
)

// caution is the part of the budget that is used, since entries count their
// windows by clocks of their own and a send may arrive late.
const caution = 0.8

// slices is the number of parts of a window that are counted apart.
const slices = 20

// Config describes a Budgeter. Zero values mean the defaults.
type Config struct {
	Ratio  float64 // repeats for each request
	Slack  float64 // repeats besides, of all entries together
	Window time.Duration
}

type counts struct {
	slot  [slices + 1]int64 // which slice of time each place counts
	first [slices + 1]int
	again [slices + 1]int
}

// Budgeter holds the counts of one entry. It is safe for concurrent use.
type Budgeter struct {
	config Config
	start  time.Time

	mu       sync.Mutex
	services map[viewer.ServiceName]*counts
}

// New returns a budgeter that has counted nothing.
func New(config Config) *Budgeter {
	if config.Ratio <= 0 {
		config.Ratio = defaultRatio
	}
	if config.Slack <= 0 {
		config.Slack = defaultSlack
	}
	if config.Window <= 0 {
		config.Window = defaultWindow
	}
	return &Budgeter{config: config, start: time.Now(), services: map[viewer.ServiceName]*counts{}}
}

// place returns the counts of a service and the place of the slice at now.
func (b *Budgeter) place(service viewer.ServiceName, now time.Time) (*counts, int) {
	c, found := b.services[service]
	if !found {
		c = &counts{}
		b.services[service] = c
	}
	slot := b.slot(now)
	i := int(slot % (slices + 1))
	if c.slot[i] != slot {
		c.slot[i], c.first[i], c.again[i] = slot, 0, 0
	}
	return c, i
}

func (b *Budgeter) slot(now time.Time) int64 {
	return 1 + int64(max(0, now.Sub(b.start))/(b.config.Window/slices))
}

// RecordRequest counts a request that is sent for the first time.
func (b *Budgeter) RecordRequest(service viewer.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.place(service, now)
	c.first[i]++
}

// Retry asks to send one request once more, and counts it if it may be. Entries
// is the number of entries that share the budget.
func (b *Budgeter) Retry(service viewer.ServiceName, entries int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.place(service, now)
	first, again := 0, 0
	oldest := b.slot(now) - slices
	for j, slot := range c.slot {
		if slot >= oldest {
			first += c.first[j]
			again += c.again[j]
		}
	}
	allowed := caution * (b.config.Ratio*float64(first) + b.config.Slack/float64(max(1, entries)))
	if float64(again+1) > allowed {
		return false
	}
	c.again[i]++
	return true
}
