package announcer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboohill/core/announcer"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// sendUntil sends all datagrams that are due by a time and returns the number.
func sendUntil(a *announcer.Announcer, peers int, until time.Time) int {
	n := 0
	for ; !a.Due().After(until); n++ {
		a.Sent(peers, a.Due())
	}
	return n
}

// TestPlacementsAreAnnouncedAtOnce checks that a placement is announced within 8 ms of any
// other datagram, and other changes at intervals that grow with the number of peers.
func TestPlacementsAreAnnouncedAtOnce(t *testing.T) {
	tests := map[string]struct {
		peers int
		other time.Duration
	}{
		"alone":     {0, 8 * time.Millisecond},
		"3 peers":   {3, 11 * time.Millisecond},
		"30 peers":  {30, 75 * time.Millisecond},
		"102 peers": {102, 255 * time.Millisecond},
		"339 peers": {339, 500 * time.Millisecond},
		"600 peers": {600, 608 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := announcer.New()
			is.True(!a.Due().After(start))
			a.Sent(test.peers, start)
			is.Equal(a.Due().Sub(start), max(announcer.Heartbeat, test.other))
			a.Change(announcer.Other, start)
			is.Equal(a.Due().Sub(start), test.other)
			a.Change(announcer.Placed, start.Add(time.Millisecond))
			is.Equal(a.Due().Sub(start), 8*time.Millisecond)
			a.Change(announcer.Other, start.Add(2*time.Millisecond))
			is.Equal(a.Due().Sub(start), 8*time.Millisecond)
			a.Sent(test.peers, a.Due())
			is.Equal(a.Due().Sub(start), 8*time.Millisecond+max(announcer.Heartbeat, test.other))
		})
	}
}

// TestPlacementsAreBounded checks that placements without end are announced at the average rate,
// and that Delay shows how late they are.
func TestPlacementsAreBounded(t *testing.T) {
	is := is.New(t)
	const peers, gap = 30, 38 * time.Millisecond
	a, now, sent := announcer.New(), start, 0
	a.Sent(peers, start)
	for now.Sub(start) < 10*time.Second {
		a.Change(announcer.Placed, now)
		sent += sendUntil(a, peers, now)
		now = now.Add(time.Millisecond)
	}
	is.True(sent <= int(10*time.Second/gap)+5)
	is.True(sent >= int(10*time.Second/gap))
	is.True(a.Delay() > gap-8*time.Millisecond)
	is.True(a.Delay() <= gap)
	now = now.Add(time.Second)
	sendUntil(a, peers, now)
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		sendUntil(a, peers, now)
		a.Change(announcer.Placed, now)
		a.Sent(peers, a.Due())
	}
	is.True(a.Delay() < 9*time.Millisecond)
}

// TestNothingIsLate checks the bounds of every datagram at drawn times of changes: the shortest
// interval, the longest one, and that of a change that is not a placement.
func TestNothingIsLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(0, 400).Draw(t, "peers")
		other := max(time.Duration(8+peers)*time.Millisecond, min(time.Duration(peers)*2500*time.Microsecond, 500*time.Millisecond))
		a, now := announcer.New(), start
		a.Sent(peers, now)
		last := now
		for range rapid.IntRange(1, 200).Draw(t, "changes") {
			until := now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for !a.Due().After(until) {
				due := a.Due()
				if due.Before(now) {
					due = now // a change has made it due before
				}
				if gap := due.Sub(last); gap < 8*time.Millisecond || gap > max(announcer.Heartbeat, other) {
					t.Fatalf("%d peers: %v after the last", peers, gap)
				}
				a.Sent(peers, due)
				last = due
			}
			now = until
			a.Change(announcer.Change(rapid.IntRange(1, 2).Draw(t, "change")), now)
			if due := a.Due(); due.Sub(last) > other {
				t.Fatalf("%d peers: a change is announced %v after the last datagram", peers, due.Sub(last))
			}
		}
	})
}

// TestBursts simulates an entry at the usual rates of a hundred entries, in a burst of two and a
// half times as many prompts: placements are announced at once, and the number of datagrams stays
// below what a datagram for each change at the average rate would take.
func TestBursts(t *testing.T) {
	is := is.New(t)
	const peers, rate, answer, length = 102, 4.4, 2 * time.Second, 60 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	type event struct {
		at     time.Time
		change announcer.Change
	}
	var events []event
	for now := start; now.Sub(start) < length; {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		first := now.Add(time.Duration(random.ExpFloat64() * float64(answer) / 4))
		end := first.Add(time.Duration(random.ExpFloat64() * float64(answer)))
		events = append(events, event{now, announcer.Placed}, event{first, announcer.Other}, event{end, announcer.Other})
	}
	slices.SortFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	a, sent := announcer.New(), 0
	a.Sent(peers, start)
	var delays []time.Duration
	for _, e := range events {
		sent += sendUntil(a, peers, e.at)
		a.Change(e.change, e.at)
		if e.change == announcer.Placed {
			delays = append(delays, max(0, a.Due().Sub(e.at)))
		}
	}
	slices.Sort(delays)
	median, late := delays[len(delays)/2], delays[len(delays)*99/100]
	t.Logf("%d datagrams in %v, delay %v, %v at the 99th percentile", sent, length, median, late)
	is.True(median < 8*time.Millisecond)
	is.True(late < 110*time.Millisecond) // the interval on average
	is.True(sent < 9*int(length/time.Second))
}
