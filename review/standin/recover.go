package main

import (
	"fmt"
	"os"
	"time"
)

// recoveryTime is bounds.recoveryS.
const recoveryTime = 12 * time.Second

// recoverWithLimits plays machines that are lost for good and replaced at new addresses,
// engines in need that name a Server-Limit far above what they are sent, and a final fault
// that kills all processes. It checks RECOVER.
func recoverWithLimits(p *play) error {
	p.store.put("op", "config", []byte(desired))
	for n, zone := range []string{"nadi", "lautoka", "sigatoka"} {
		e, err := startEngine(fmt.Sprintf("i-%d", n), "bookings", zone, p.ip(100+n), p.store, 60*time.Millisecond, p.record)
		if err != nil {
			return err
		}
		e.need("20") // requests a second; there are 3 engines and 12 requests a second
	}
	p.seeds = []string{fmt.Sprintf("%s:%d", p.ip(1), p.ports.control), fmt.Sprintf("%s:%d", p.ip(2), p.ports.control)}
	zones := []string{"nadi", "lautoka"}
	live := make([]*machine, 2)
	for n, zone := range zones {
		m, err := p.add("front-"+zone+"-1", zone, n+1)
		if err != nil {
			return err
		}
		live[n] = m
	}
	for _, m := range live {
		if !m.awaitReady(p.ports, 10*time.Second) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	stop := make(chan struct{})
	go p.balancer.run(stop)
	time.Sleep(3 * time.Second) // traffic starts some seconds after the machines do
	start := time.Now()
	go p.traffic(12, stop)
	at := func(seconds float64) {
		time.Sleep(time.Until(start.Add(time.Duration(seconds * float64(time.Second)))))
	}
	if p.trouble && os.Getenv("REPLACE") != "0" {
		for n, when := range []float64{4, 10, 16} {
			at(when)
			old := live[n%2]
			p.balancer.remove(old)
			old.kill("it loses power and is removed for good")
			time.Sleep(2 * time.Second)
			spare := []string{"nadi", "lautoka", "sigatoka"}[n] // one in each zone
			m, err := p.add("front-"+spare+"-2", spare, 3+n)
			if err != nil {
				return err
			}
			live[n%2] = m
		}
	}
	at(22)
	fault := time.Now()
	if p.trouble {
		for _, m := range live {
			m.kill("the final fault")
		}
		time.Sleep(900 * time.Millisecond)
		for _, m := range live {
			if err := p.start(m); err != nil {
				return err
			}
		}
	}
	back := time.Now()
	for _, m := range live {
		if !m.awaitReady(p.ports, 10*time.Second) {
			return fmt.Errorf("%s is not ready after the fault", m.name)
		}
	}
	p.record.line("all machines are ready; rows of machines in the store: %d", p.store.count("entries"))
	time.Sleep(time.Until(back.Add(recoveryTime + 25*time.Second)))
	end := time.Now().Add(-clientTime)
	close(stop)
	p.client.work.Wait()
	sent, served := p.client.share(start, fault)
	after, servedAfter := p.client.share(back.Add(recoveryTime), end)
	text := fmt.Sprintf("before the final fault %d of %d requests were served, later than recoveryS after it %d of %d", served, sent, servedAfter, after)
	p.record.line("%s", text)
	fmt.Println(text)
	if 4*served >= sent && 4*servedAfter < after {
		return errBroken
	}
	return nil
}
