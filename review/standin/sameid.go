package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// sameID sends two requests with the same Attempt-Id to one machine, the second one while the
// first is under way. The pages don't allow clients to do so; it is no case of the review.
func sameID(p *play) error {
	p.store.put("op", "config", []byte(desired))
	if _, err := startEngine("i-0", "bookings", "nadi", p.ip(100), p.store, 300*time.Millisecond, p.record); err != nil {
		return err
	}
	p.seeds = []string{fmt.Sprintf("%s:%d", p.ip(1), p.ports.control)}
	m, err := p.add("front-nadi-1", "nadi", 1)
	if err != nil {
		return err
	}
	if !m.awaitReady(p.ports, 10*time.Second) {
		return fmt.Errorf("%s is not ready", m.name)
	}
	time.Sleep(time.Second)
	for n := range 2 {
		id := fmt.Sprintf("9c41d07be2a35f6%d", n)
		if p.trouble {
			id = "9c41d07be2a35f68"
		}
		go func() {
			r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s:%d/roster/a", m.ip, p.ports.front), nil)
			if err != nil {
				return
			}
			r.Host, r.Close = host, true
			r.Header.Set("Attempt-Id", id)
			r.Header.Set("Authorization", "Token "+p.client.key)
			r.Header.Set("Deadline-Ms", "3000")
			answer, err := (&http.Transport{}).RoundTrip(r)
			if err != nil {
				p.record.line("%s: %v", id, err)
				return
			}
			_ = answer.Body.Close()
			p.record.line("%s: %d", id, answer.StatusCode)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case <-m.ended:
		fmt.Println("the process has ended by itself")
		return errBroken
	case <-time.After(2 * time.Second):
		return nil
	}
}
