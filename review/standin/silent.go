package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// drainTime is bounds.drainMs.
const drainTime = 2 * time.Second

// removedAfterSilence plays channels to the store that go silent for good, and an engine that
// leaves later than contactMs after that without having said so. It checks DRAIN.
func removedAfterSilence(p *play) error {
	p.store.put("op", "config", []byte(desired))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	var leaving *engine
	for n := range 4 {
		e, err := startEngine(fmt.Sprintf("i-%d", n), "bookings", zones[n%3], p.ip(100+n), p.store, 30*time.Millisecond, p.record)
		if err != nil {
			return err
		}
		leaving = e
	}
	for n := range 3 {
		p.seeds = append(p.seeds, fmt.Sprintf("%s:%d", p.ip(1+n), p.ports.control))
	}
	fronts := 9
	if n, err := strconv.Atoi(os.Getenv("FRONTS")); err == nil {
		fronts = n
	}
	for n := range fronts {
		if _, err := p.add(fmt.Sprintf("front-%s-%d", zones[n%3], 1+n/3), zones[n%3], n+1); err != nil {
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
	go p.traffic(100, stop)
	time.Sleep(8 * time.Second)
	if p.trouble {
		p.record.line("all channels to the store go silent; new ones work")
		p.store.silence()
	}
	time.Sleep(contactTime + time.Second)
	p.store.remove("servers", leaving.id)
	gone := time.Now()
	p.record.line("the entry of %s is removed: it leaves, and serves on for 5 s", leaving.id)
	time.Sleep(5 * time.Second)
	_ = leaving.listener.Close()
	time.Sleep(time.Second)
	close(stop)
	p.client.work.Wait()
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, at := range leaving.runs {
		if at.Sub(gone) > drainTime {
			late++
			last = at.Sub(gone)
		}
	}
	text := fmt.Sprintf("%d of %d requests reached %s later than drainMs after it was gone, the last one %.3f s after", late, len(leaving.runs), leaving.id, last.Seconds())
	p.record.line("%s", text)
	fmt.Println(text)
	if late > 0 {
		return errBroken
	}
	return nil
}
