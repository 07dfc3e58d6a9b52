package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// contactTime is bounds.contactMs.
const contactTime = 3 * time.Second

// desiredModels is the desired state: one service of model engines with a streaming route.
const desiredModels = `{"version":7,"routes":[
{"name":"briefing","host":"` + host + `","pathPrefix":"/briefing/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"targetGapMs":200,"priority":1,"service":"pool","maxAttempts":2,"resumable":true,"sticky":true}],
"services":[{"name":"pool","healthPath":"/health","maxConns":224,"coldStartS":3,"coldPerS":26,"engine":{"slots":16,"kvCapacityTokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048,"usual":{"prompt":4960,"answer":1600}}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}`

// prompts counts the prompts of clients.
type prompts struct {
	mu            sync.Mutex
	number        int
	sound, served int
	work          sync.WaitGroup
}

// prompt sends one streaming request, without a retry: a client retries one only after a
// promise or a broken channel.
func (p *play) prompt(c *prompts, bad bool) {
	c.mu.Lock()
	c.number++
	n := c.number
	c.mu.Unlock()
	m := p.balancer.pick()
	if m == nil {
		return
	}
	id := fmt.Sprintf("%08x", 0xa0000000+n)
	prefix := fmt.Sprintf("5c1e07a2:40,e4%06x:4000", n)
	if bad {
		prefix = fmt.Sprintf("5c1e07a2:40,bad0bad0:400,e4%06x:4000", n)
	}
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/briefing/%x", m.ip, p.ports.front, n), strings.NewReader(fmt.Sprintf("prompt %d", n)))
		if err != nil {
			return
		}
		r.Host, r.Close = host, true
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Authorization", "Token "+p.client.key)
		r.Header.Set("Deadline-Ms", "10000")
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "4040,460")
		r.Header.Set("Prompt-Prefix", prefix)
		p.record.line("%s to %s, bad part: %v", id, m.name, bad)
		answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
		if err != nil {
			p.record.line("%s: no answer", id)
			return
		}
		defer answer.Body.Close()
		text, err := io.ReadAll(answer.Body)
		whole := err == nil && answer.StatusCode == http.StatusOK && strings.Count(string(text), "data: "+id) == events
		p.record.line("%s: %d, whole: %v", id, answer.StatusCode, whole)
		c.mu.Lock()
		defer c.mu.Unlock()
		if !bad {
			c.sound++
			if whole {
				c.served++
			}
		}
	}()
}

// crashAfterKill plays prompts of which one part crashes engines, at a quiet time, and kills
// all processes between the crashes. It checks BUDGET.
func crashAfterKill(p *play) error {
	p.store.put("op", "config", []byte(desiredModels))
	engines := &pool{store: p.store, record: p.record, host: p.ip, badPart: "bad0bad0"}
	zones := []string{"nadi", "lautoka", "sigatoka"}
	for n := range 9 {
		if err := engines.boot(n, zones[n%3]); err != nil {
			return err
		}
	}
	names := []string{"front-nadi-1", "front-nadi-2", "front-lautoka-1", "front-sigatoka-1"}
	for n := range 3 {
		p.seeds = append(p.seeds, fmt.Sprintf("%s:%d", p.ip(1+n), p.ports.control))
	}
	for n, name := range names {
		if _, err := p.add(name, strings.Split(name, "-")[1], n+1); err != nil {
			return err
		}
	}
	for _, m := range p.machines {
		if !m.awaitReady(p.ports, 10*time.Second) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	stop := make(chan struct{})
	go p.balancer.run(stop)
	time.Sleep(4 * time.Second)
	start := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(start.Add(time.Duration(seconds * float64(time.Second)))))
	}
	c := &prompts{}
	go func() { // sound prompts of the same caller: one in 2.5 s
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(2500 * time.Millisecond):
				p.prompt(c, false)
			}
		}
	}()
	for _, when := range []float64{2, 5} {
		at(when)
		p.prompt(c, true)
	}
	at(7)
	up := start.Add(-contactTime)
	if p.trouble {
		for _, m := range p.machines {
			m.kill("all processes are killed at the same moment")
		}
		time.Sleep(900 * time.Millisecond)
		up = time.Now()
		for _, m := range p.machines {
			if err := p.start(m); err != nil {
				return err
			}
		}
	}
	for when := 12.0; when <= 47; when += 3.5 {
		at(when)
		p.prompt(c, true)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	c.work.Wait()
	return engines.check(c, up)
}

// check counts the requests with the bad part that reached engines later than contactMs after
// the fifth crash, sent by machines in touch.
func (p *pool) check(c *prompts, up time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 5 {
		return fmt.Errorf("only %d crashes", len(p.crashes))
	}
	fifth, late := p.crashes[4], 0
	for _, a := range p.arrivals {
		if a.at.After(fifth.Add(contactTime)) && a.at.After(up.Add(contactTime)) {
			late++
			p.record.line("late: %s reached %s %.3f s after the fifth crash", a.attempt, a.engine, a.at.Sub(fifth).Seconds())
		}
	}
	text := fmt.Sprintf("%d engines crashed; %d requests with the part reached engines later than contactMs after the fifth (3 are allowed); %d of %d sound prompts were served",
		len(p.crashes), late, c.served, c.sound)
	p.record.line("%s", text)
	fmt.Println(text)
	if late > 3 {
		return errBroken
	}
	return nil
}
