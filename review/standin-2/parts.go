package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

func init() {
	plays["parts"] = playParts
	if n, err := strconv.Atoi(os.Getenv("DOCUMENT_AT")); err == nil {
		documentAt = n
	}
}

// poisonPart is the part that crashes each engine that begins to write an answer on it.
const poisonPart = "badd0c07"

// documentAt is the place of the document among the shared parts.
var documentAt = 17

// longPrefix returns the parts of a prompt of a long session: 20 shared parts, and the own one.
// The part at index 17 is one of the session's documents.
func longPrefix(document string) string {
	var all []string
	for i := range 20 {
		id := fmt.Sprintf("5c1e%04x", i)
		if i == documentAt {
			id = document
		}
		all = append(all, id+":40")
	}
	return strings.Join(append(all, fmt.Sprintf("%08x:200", rand.Uint32())), ",")
}

func hasPoison(r *http.Request, _ []byte) bool {
	return slices.Contains(parts(r.Header.Get("Prompt-Prefix")), poisonPart)
}

// playParts sends prompts with a part that crashes engines, beside sound ones that share their
// caller and their other parts.
func playParts(record *recorder, trouble bool) string {
	s := newSite(record, 0, 14, 2)
	defer s.end()
	if trouble {
		for _, e := range s.engines {
			e.poison = hasPoison
		}
	}
	s.begin()
	s.play(40*time.Second, 250*time.Millisecond, func() {
		s.prompt("sound", keyOne, "/lohu930/2f", longPrefix(fmt.Sprintf("91bd%04x", rand.IntN(50))), 1000, body())
	}, 1500*time.Millisecond, func() {
		s.prompt("poison", keyOne, "/lohu930/2f", longPrefix(poisonPart), 1000, body())
	})
	return s.lateWithPart(poisonPart)
}

func body() []byte {
	return fmt.Appendf(nil, "prompt %016x %s", rand.Uint64(), strings.Repeat("x", 600))
}

// play calls two senders at their intervals for a time, and waits for the last answers.
func (s *site) play(d time.Duration, soundGap time.Duration, sound func(), otherGap time.Duration, other func()) {
	end := time.Now().Add(d)
	repeat := func(gap time.Duration, do func()) {
		for do != nil && time.Now().Before(end) {
			go do()
			time.Sleep(min(gap, time.Until(end)))
		}
		time.Sleep(time.Until(end))
	}
	go repeat(soundGap, sound)
	repeat(otherGap, other)
	time.Sleep(3 * time.Second)
}

// lateWithPart checks the rule on parts: more than three requests with the part reach engines,
// sent later than contactMs after the fifth crash.
func (s *site) lateWithPart(part string) string {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	if len(s.record.crashes) < 5 {
		return ""
	}
	from := s.record.crashes[4].Add(contactMs * time.Millisecond)
	late := 0
	for _, a := range s.record.arrivals {
		if a.at.After(from) && slices.Contains(parts(a.prefix), part) {
			late++
		}
	}
	fmt.Fprintf(s.record.file, "crashes %d, requests with the part that reached engines later than %d ms after the fifth crash: %d\n", len(s.record.crashes), contactMs, late)
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with the part reached engines later than contactMs after the fifth crash (%d crashes)", late, len(s.record.crashes))
	}
	return ""
}
