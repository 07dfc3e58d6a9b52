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

// ReadinessDelay is the fault by which a balancer acts on an answer of /readyz so many
// milliseconds later.
const ReadinessDelay = "late"

// defaultInterval is the time between questions to one target.
const defaultInterval = time.Second

// BalancerConfig describes a Balancer. The zero Every is a second.
type BalancerConfig struct {
	Targets  []string
	Interval time.Duration // between questions to one target
}

// Balancer spreads connections over targets in turn.
type Balancer struct {
	Faults *injector.Faults

	config BalancerConfig
	relay  *Relay
	client *http.Client

	mu    sync.Mutex
	ready map[string]bool // as acted on
	next  int
}

// NewBalancer returns a balancer that holds no target ready yet.
func NewBalancer(config BalancerConfig) *Balancer {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	b := &Balancer{
		Faults: injector.New(), config: config, ready: map[string]bool{},
		client: &http.Client{Timeout: config.Interval, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	b.relay = New(Config{Pick: b.pick})
	return b
}

// Relay returns what passes the connections on.
func (b *Balancer) Relay() *Relay { return b.relay }

// Run asks every target until the context ends.
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
		late := time.Duration(b.Faults.Get(ReadinessDelay)) * time.Millisecond
		time.AfterFunc(late, func() { b.setReady(target, ready) })
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

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

// pick returns the next target that is ready.
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

// Handler serves /counts: the connections by target, the number refused, and
// the targets that are held ready.
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
	held := []string{}
	for target, ready := range b.ready {
		if ready {
			held = append(held, target)
		}
	}
	slices.Sort(held)
	return held
}
