package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"bamboohill/standin/injector"
)

// ReadinessDelay is the fault that delays the effect of a readiness probe's
// result, in milliseconds.
const ReadinessDelay = "late"

// defaultInterval is the default of BalancerConfig.Interval.
const defaultInterval = time.Second

// BalancerConfig describes a Balancer.
type BalancerConfig struct {
	Targets  []string
	Interval time.Duration // between readiness probes of one target; 0 means 1 second
	Timeout  time.Duration // of a probe, after which the target counts as not ready; 0 means Interval
}

// Balancer distributes connections over the ready targets, round robin.
type Balancer struct {
	Faults *injector.Faults

	config BalancerConfig
	relay  *Relay
	client *http.Client

	mu    sync.Mutex
	ready map[string]bool // after ReadinessDelay
	next  int
}

// NewBalancer returns a balancer that treats no target as ready until Run has
// probed it.
func NewBalancer(config BalancerConfig) *Balancer {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.Timeout <= 0 {
		config.Timeout = config.Interval
	}
	b := &Balancer{
		Faults: injector.New(), config: config, ready: map[string]bool{},
		client: &http.Client{Timeout: config.Timeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	b.relay = New(Config{Pick: b.pick})
	return b
}

// Relay returns the relay that forwards the connections.
func (b *Balancer) Relay() *Relay { return b.relay }

// Run probes every target at the interval until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for _, target := range b.config.Targets {
		go b.watch(ctx, target)
	}
	<-ctx.Done()
}

func (b *Balancer) watch(ctx context.Context, target string) {
	ticks := time.NewTicker(b.config.Interval)
	defer ticks.Stop()
	for {
		ready := b.probe(ctx, target)
		delay := time.Duration(b.Faults.Get(ReadinessDelay)) * time.Millisecond
		time.AfterFunc(delay, func() { b.setReady(target, ready) })
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// probe reports whether GET /readyz of target returns 200.
func (b *Balancer) probe(ctx context.Context, target string) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/readyz", nil)
	if err != nil {
		return false
	}
	r, err := b.client.Do(q)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (b *Balancer) setReady(target string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[target] = ready
}

// pick returns the next ready target, or false if none is ready.
func (b *Balancer) pick() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.config.Targets {
		target := b.config.Targets[b.next%len(b.config.Targets)]
		b.next++
		if b.ready[target] {
			return target, true
		}
	}
	return "", false
}

// Handler serves /counts: the number of connections by target, the number of
// refused connections, and the targets that the balancer treats as ready.
func (b *Balancer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		sent, refused := b.relay.Counts()
		json.NewEncoder(w).Encode(map[string]any{"sent": sent, "refused": refused, "ready": b.readyTargets()})
	})
	return mux
}

func (b *Balancer) readyTargets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := []string{}
	for target, ready := range b.ready {
		if ready {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets
}
