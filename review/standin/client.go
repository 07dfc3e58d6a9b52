package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// balancer is the platform's balancer: it asks each machine once a second whether it is
// ready, and takes one out after two misses.
type balancer struct {
	ports ports

	mu     sync.Mutex
	nodes  []*machine
	misses map[*machine]int
	next   int
}

func newBalancer(p ports) *balancer { return &balancer{ports: p, misses: map[*machine]int{}} }

func (b *balancer) add(m *machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append(b.nodes, m)
	b.misses[m] = 2
}

// remove takes a machine out that has been removed for good.
func (b *balancer) remove(m *machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.nodes {
		if other == m {
			b.nodes = append(b.nodes[:i:i], b.nodes[i+1:]...)
			return
		}
	}
}

func (b *balancer) all() []*machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*machine{}, b.nodes...)
}

func (b *balancer) run(stop chan struct{}) {
	for {
		for _, m := range b.all() {
			ready := m.ready(b.ports)
			b.mu.Lock()
			if b.misses[m]++; ready {
				b.misses[m] = 0
			}
			b.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns the machine for a new channel: one that is in rotation, or any if none is.
func (b *balancer) pick() *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*machine
	for _, m := range b.nodes {
		if b.misses[m] < 2 {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		in = b.nodes
	}
	if len(in) == 0 {
		return nil
	}
	b.next++
	return in[b.next%len(in)]
}

// result is how a request of a client ended.
type result struct {
	sent   time.Time
	served bool
	status []int // of its attempts; 0 for a closed channel or none in time
}

// client sends requests as PROTOCOL.md tells: each attempt with its own id and on a new
// channel, one retry, after the Retry-After that it is told if that fits in a third of the
// time that it has left.
type client struct {
	balancer *balancer
	record   *record
	key      string
	counter  atomic.Int64

	mu      sync.Mutex
	results []result
	work    sync.WaitGroup
}

const clientTime = 3 * time.Second

// send sends one request of a safe route and records how it ended.
func (c *client) send(path string) {
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		r := result{sent: time.Now()}
		end := r.sent.Add(clientTime)
		for range 2 {
			status, wait := c.attempt(path, time.Until(end))
			r.status = append(r.status, status)
			if status == http.StatusOK {
				r.served = true
				break
			}
			if wait > time.Until(end)/3 {
				break
			}
			time.Sleep(wait)
		}
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
	}()
}

func (c *client) attempt(path string, left time.Duration) (status int, wait time.Duration) {
	m := c.balancer.pick()
	if m == nil {
		return 0, 100 * time.Millisecond
	}
	id := fmt.Sprintf("%016x", c.counter.Add(1)+time.Now().UnixNano()<<20)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", m.ip, c.balancer.ports.front, path), nil)
	if err != nil {
		return 0, 0
	}
	r.Host, r.Close = host, true
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+c.key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true}
	answer, err := transport.RoundTrip(r)
	if err != nil {
		c.record.line("%s to %s: no answer", id, m.name)
		return 0, 0
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		c.record.line("%s to %s: %d, cut", id, m.name, answer.StatusCode)
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	c.record.line("%s to %s: %d %q", id, m.name, answer.StatusCode, strings.TrimSpace(string(text)))
	if answer.StatusCode == http.StatusOK && !strings.HasSuffix(string(text), id) {
		return -1, 0 // another request's answer
	}
	return answer.StatusCode, time.Duration(seconds * float64(time.Second))
}

// share returns how many requests were sent in a time, and how many of these were served.
func (c *client) share(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if !r.sent.Before(from) && r.sent.Before(to) {
			sent++
			if r.served {
				served++
			}
		}
	}
	return sent, served
}
