package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func init() {
	plays["blame"] = playBlame
	if n, err := strconv.Atoi(os.Getenv("BATCH")); err == nil {
		batch = n
	}
}

// batch is the number of the first prompts about the document, which are sent at once; two more
// follow.
var batch = 4

// Parts that the prompts of one tenant begin with: that of an older and of a newer version of
// its application.
const (
	olderFirst = "5c1e07a2"
	newerFirst = "6d2f18b3"
)

// playBlame sends sound prompts of a tenant, which then begins its prompts with another first
// part. Some of the first prompts with that share a document that crashes engines; the others
// are sound. Prompts with the document go on to come.
func playBlame(record *recorder, trouble bool) string {
	s := newSite(record, 0, 14, 2)
	defer s.end()
	if trouble {
		for _, e := range s.engines {
			e.poison = hasPoison
		}
	}
	s.begin()
	prefix := func(first, document string) string {
		return fmt.Sprintf("%s:40,%s:400,%08x:200", first, document, rand.Uint32())
	}
	document := func() string { return fmt.Sprintf("91bd%04x", rand.IntN(50)) }
	var calls []*call
	results := make(chan *call, 1000)
	sound := func(first string) {
		results <- s.prompt("sound", keyOne, "/lohu930/2f", prefix(first, document()), 1000, body())
	}
	poison := func() { s.prompt("poison", keyOne, "/lohu930/2f", prefix(newerFirst, poisonPart), 1000, body()) }
	s.play(10*time.Second, 200*time.Millisecond, func() { sound(olderFirst) }, 0, nil)
	// Six prompts about the document within a quarter of a second.
	for range batch {
		go poison()
	}
	time.Sleep(250 * time.Millisecond)
	for range 2 {
		go poison()
	}
	time.Sleep(time.Second)
	s.play(35*time.Second, 200*time.Millisecond, func() { sound(newerFirst) }, 2*time.Second, poison)
	close(results)
	for c := range results {
		calls = append(calls, c)
	}
	return s.soundServed(calls)
}

// soundServed checks the rule on sound requests: from 2 x contactMs after the fifth crash, while
// requests with the part still come, sound ones begin at the first attempt less than half as
// often as before, 20 or more of each.
func (s *site) soundServed(calls []*call) string {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	var first, from time.Time
	if n := len(s.record.crashes); n > 0 {
		first, from = s.record.crashes[0], s.record.crashes[min(n, 5)-1].Add(2*contactMs*time.Millisecond)
	}
	var before, beganBefore, after, beganAfter int
	for _, c := range calls {
		began := s.record.runs[c.attempt] > 0
		switch {
		case first.IsZero() || c.sent.Before(first.Add(-11*time.Second)):
			before++
			if began {
				beganBefore++
			}
		case c.sent.After(from):
			after++
			if began {
				beganAfter++
			}
		case c.sent.Before(first):
			before++
			if began {
				beganBefore++
			}
		}
	}
	fmt.Fprintf(s.record.file, "crashes %d; sound requests before the first: %d, began %d; from 2 x contactMs after the fifth (or last): %d, began %d\n", len(s.record.crashes), before, beganBefore, after, beganAfter)
	if before < 20 || after < 20 {
		return ""
	}
	if float64(beganAfter)/float64(after) < 0.5*float64(beganBefore)/float64(before) {
		return fmt.Sprintf("LOST: %d of %d sound requests began at the first attempt, %d of %d before", beganAfter, after, beganBefore, before)
	}
	return ""
}
