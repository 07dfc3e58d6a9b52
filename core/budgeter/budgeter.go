// Package budgeter limits the retries of requests to each service, over a
// sliding window and by a budget that all entries share. The budget prevents
// retry storms, in which failures cause retries and these more failures: a
// failing service gets little more than the first attempts of its callers'
// requests.
//
// # Usage
//
//	b := budgeter.New(budgeter.Config{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
//	b.RecordRequest(service, now)
//	if b.Retry(service, entries, now) {
//		// Send the request again.
//	}
package budgeter

import (
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Defaults of Config.
const (
	defaultRatio  = 0.2
	defaultSlack  = 10
	defaultWindow = 10 * time.Second
)

// safetyFactor is the fraction of the budget that is used, since the windows of
// the entries follow different clocks and a request may arrive late.
const safetyFactor = 0.8

// windowSlots is the number of time slots of a window with separate counts.
const windowSlots = 20

// Config configures a Budgeter. A zero value selects the default.
type Config struct {
	Ratio  float64       // retries for each request, default 0.2
	Slack  float64       // further retries in a window, of all entries together, default 10
	Window time.Duration // default 10 s
}

// window holds the counts of one service as a ring of slots. The extra slot is
// the current one, which is not over yet.
type window struct {
	slots    [windowSlots + 1]int64 // number of the time slot at each index
	requests [windowSlots + 1]int
	retries  [windowSlots + 1]int
}

// Budgeter holds the counts of one entry. It is safe for concurrent use.
type Budgeter struct {
	config Config
	start  time.Time

	mu       sync.Mutex
	services map[viewer.ServiceName]*window
}

// New returns a Budgeter without counts.
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
	return &Budgeter{config: config, start: time.Now(), services: map[viewer.ServiceName]*window{}}
}

// current returns the window of a service and the index of the slot at now.
func (b *Budgeter) current(service viewer.ServiceName, now time.Time) (*window, int) {
	w, found := b.services[service]
	if !found {
		w = &window{}
		b.services[service] = w
	}
	slot := b.slot(now)
	i := int(slot % (windowSlots + 1))
	if w.slots[i] != slot {
		w.slots[i], w.requests[i], w.retries[i] = slot, 0, 0
	}
	return w, i
}

// slot returns the number of the time slot at now, from 1.
func (b *Budgeter) slot(now time.Time) int64 {
	return 1 + int64(max(0, now.Sub(b.start))/(b.config.Window/windowSlots))
}

// RecordRequest counts the first attempt of a request.
func (b *Budgeter) RecordRequest(service viewer.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.current(service, now)
	w.requests[i]++
}

// Retry reports whether the budget allows one retry now, and counts it if so.
// Entries is the number of entries that share the budget.
func (b *Budgeter) Retry(service viewer.ServiceName, entries int, now time.Time) bool {
	return b.RetryWithin(service, entries, 1, now)
}

// RetryWithin is Retry for requests that may use only a share, from 0 to 1, of the budget.
// The rest is kept for more urgent ones.
func (b *Budgeter) RetryWithin(service viewer.ServiceName, entries int, share float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.current(service, now)
	requests, retries := 0, 0
	oldest := b.slot(now) - windowSlots
	for j, slot := range w.slots {
		if slot >= oldest {
			requests += w.requests[j]
			retries += w.retries[j]
		}
	}
	allowed := share * safetyFactor * (b.config.Ratio*float64(requests) + b.config.Slack/float64(max(1, entries)))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[i]++
	return true
}
