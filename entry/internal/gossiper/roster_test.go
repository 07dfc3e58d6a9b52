package gossiper

import (
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/wire"

	"github.com/matryer/is"
)

// clockedRoster is a roster with a clock.
type clockedRoster struct {
	*roster
	now time.Time
}

func newClockedRoster(addresses ...string) *clockedRoster {
	c := &clockedRoster{roster: newRoster("me"), now: time.Unix(1000, 0)}
	for _, a := range addresses {
		c.message(a, 1)
	}
	return c
}

// message records a message from a member.
func (c *clockedRoster) message(address string, boot uint64) {
	c.record(&wire.Member{Address: address, Boot: boot}, c.now, c.now)
}

// second advances the clock by a second. It records a message from the given
// members, and failed greetings to the others if greeted is set.
func (c *clockedRoster) second(greeted bool, alive ...string) {
	c.now = c.now.Add(time.Second)
	for _, a := range alive {
		c.message(a, 1)
	}
	for _, a := range c.known() {
		if greeted && c.all[a].lastSeen.Before(c.now) {
			c.recordFailure(a, c.now)
		}
	}
	c.updateDead(c.now)
}

func TestRosterSilenceNeedsFailedGreeting(t *testing.T) {
	is := is.New(t)
	c := newClockedRoster("a", "b", "c")
	for range 20 {
		c.second(false, "a", "b")
	}
	is.Equal(c.live(c.now), []string{"a", "b", "c"}) // silent, but no greeting failed
	c.second(true, "a", "b")
	is.Equal(c.live(c.now), []string{"a", "b"})
	for range 70 {
		c.second(true, "a", "b")
	}
	is.Equal(c.known(), []string{"a", "b"}) // the third was removed
}

func TestRosterKeepsAllWhenPartitioned(t *testing.T) {
	is := is.New(t)
	c := newClockedRoster("a", "b", "c")
	for range 200 {
		c.second(true)
	}
	is.Equal(len(c.live(c.now)), 0)
	is.Equal(c.known(), []string{"a", "b", "c"}) // to greet when the partition ends
	is.Equal(len(c.sample(9, c.now, rand.New(rand.NewPCG(1, 1)))), 0)
}

func TestRosterHoldsFlappingMember(t *testing.T) {
	is := is.New(t)
	c := newClockedRoster("a", "b", "c")
	live := 0
	for range 10 {
		for range 7 {
			c.second(true, "a", "b")
		}
		for range 3 {
			c.second(true, "a", "b", "c")
			live += len(c.live(c.now)) - 2
		}
	}
	is.True(live <= 6) // of the 30 seconds in which it sent messages
	for range 40 {
		c.second(true, "a", "b", "c")
	}
	is.Equal(len(c.live(c.now)), 3)
}

func TestRosterReplacementWithSlowClock(t *testing.T) {
	is := is.New(t)
	c := newClockedRoster("b", "c")
	c.message("a", 100)
	c.second(false, "b", "c")
	c.message("a", 90)
	is.Equal(c.all["a"].boot, uint64(100))
	for range 10 {
		c.second(true, "b", "c")
	}
	is.Equal(c.live(c.now), []string{"b", "c"})
	c.message("a", 90)
	is.Equal(c.all["a"].boot, uint64(90))
	c.now = c.now.Add(firstHold)
	is.Equal(len(c.live(c.now)), 3)
}

func TestRosterRecord(t *testing.T) {
	at := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		reports []*wire.Member
		live    bool
	}{
		"message":                {[]*wire.Member{{Address: "a", Boot: 1}}, true},
		"leaving":                {[]*wire.Member{{Address: "a", Boot: 1}, {Address: "a", Boot: 1, Leaving: true}}, false},
		"message after leaving":  {[]*wire.Member{{Address: "a", Boot: 1, Leaving: true}, {Address: "a", Boot: 1}}, false},
		"new boot after leaving": {[]*wire.Member{{Address: "a", Boot: 1, Leaving: true}, {Address: "a", Boot: 2}}, true},
		"old boot's leaving":     {[]*wire.Member{{Address: "a", Boot: 2}, {Address: "a", Boot: 1, Leaving: true}}, true},
		"itself":                 {[]*wire.Member{{Address: "me", Boot: 1}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRoster("me")
			now := at
			for _, w := range test.reports {
				now = now.Add(time.Second)
				r.record(w, now, now)
			}
			if got := len(r.live(now)) == 1; got != test.live {
				t.Errorf("live = %v, want %v", got, test.live)
			}
		})
	}
}

// TestRosterSpreads lets many rosters exchange samples. After a bounded number
// of rounds each must have all the others live, and they must stay so.
func TestRosterSpreads(t *testing.T) {
	const size = 60
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	names := make([]string, size)
	all := map[string]*roster{}
	for i := range names {
		names[i] = string(rune('A'+i/26)) + string(rune('a'+i%26))
		all[names[i]] = newRoster(names[i])
		if i > 0 {
			all[names[i]].setPermanent(names[i/2 : i/2+1])
		}
	}
	exchange := func(from, to string) {
		all[to].record(&wire.Member{Address: from, Boot: 1}, now, now)
		for _, m := range all[from].sample(sampleSize, now, random) {
			all[to].record(m, now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond), now)
		}
	}
	fewestLive := func() int {
		n := size
		for _, r := range all {
			n = min(n, len(r.live(now)))
		}
		return n
	}
	rounds := 0
	for ; rounds < 60 && fewestLive() < size-1; rounds++ {
		now = now.Add(time.Second)
		for _, a := range names {
			for _, b := range all[a].targets(fanout, random) {
				exchange(a, b)
				exchange(b, a)
			}
			all[a].updateDead(now)
		}
	}
	t.Logf("entries=%d rounds=%d", size, rounds)
	is.True(rounds < 60)
	for range 30 {
		now = now.Add(time.Second)
		for _, a := range names {
			for _, b := range all[a].targets(fanout, random) {
				exchange(a, b)
				exchange(b, a)
			}
			all[a].updateDead(now)
		}
	}
	is.Equal(fewestLive(), size-1)
}
