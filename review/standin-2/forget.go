package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func init() { plays["forget"] = playForget }

// playForget sends prompts with a part that crashes engines until the entries refuse them.
// The store then returns from a copy of a time before that, and later all entries are killed.
func playForget(record *recorder, trouble bool) string {
	era := int64(0) // the store has not returned before
	if n, err := strconv.ParseInt(os.Getenv("ERA"), 10, 64); err == nil {
		era = n
	}
	s := newSite(record, era, 14, 2)
	defer s.end()
	for _, e := range s.engines {
		e.poison = hasPoison
	}
	s.begin()
	prefix := func(document string) string {
		return fmt.Sprintf("5c1e07a2:40,%s:400,%08x:200", document, rand.Uint32())
	}
	sound := func() {
		s.prompt("sound", keyOne, "/lohu930/2f", prefix(fmt.Sprintf("91bd%04x", rand.IntN(50))), 1000, body())
	}
	poison := func() { s.prompt("poison", keyOne, "/lohu930/2f", prefix(poisonPart), 1000, body()) }
	s.play(3*time.Second, 200*time.Millisecond, sound, 0, nil)
	older := s.store.copy()
	several := func() {
		for range 3 {
			go poison()
		}
	}
	several()
	time.Sleep(300 * time.Millisecond)
	several()
	s.play(3*time.Second, 200*time.Millisecond, sound, 0, nil)
	record.add("store", "has the blocked", s.store.keys("suspects"))
	if trouble {
		record.add("store", "goes away")
		s.store.drill(older, time.Second)
		record.add("store", "is back from an older copy")
	}
	s.play(2*time.Second, 200*time.Millisecond, sound, time.Second, poison)
	record.add("store", "has the blocked", s.store.keys("suspects"))
	if trouble || os.Getenv("KILL") != "" {
		for _, e := range s.entries {
			e.kill()
		}
		for _, e := range s.entries {
			e.start()
		}
		for _, e := range s.entries {
			e.awaitReady()
		}
	}
	time.Sleep(4 * time.Second) // contactMs: the machines are in touch again
	s.play(30*time.Second, 200*time.Millisecond, sound, 2*time.Second, several)
	return s.lateWithPart(poisonPart)
}
