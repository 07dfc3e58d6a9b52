package claimer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/core/claimer"
	"bamboohill/core/ider"

	"github.com/matryer/is"
)

// claim asks for one more copy of the request f at a server.
func claim(c *claimer.Claimer, server ider.Server, attempt ider.Attempt, now time.Time) ([]ider.Server, bool) {
	return c.Claim(claimer.Claim{Fingerprint: "f", Server: server, Attempt: attempt, Lease: time.Minute}, now)
}

func TestClaim(t *testing.T) {
	now := time.Now()
	settled := func(how claimer.Settlement, attempts ...ider.Attempt) func(c *claimer.Claimer) {
		return func(c *claimer.Claimer) {
			claim(c, "a", "1", now)
			claim(c, "b", "2", now)
			for _, a := range attempts {
				c.Settle("f", a, how, now)
			}
		}
	}
	tests := map[string]struct {
		before  func(*claimer.Claimer)
		server  ider.Server
		after   time.Duration
		held    bool
		servers []ider.Server
	}{
		"first":                             {before: func(*claimer.Claimer) {}, server: "a", held: true},
		"third server":                      {before: settled(claimer.Ended), server: "c", servers: []ider.Server{"a", "b"}},
		"joins another copy":                {before: settled(claimer.Ended), server: "b", held: true},
		"one has ended":                     {before: settled(claimer.Ended, "1"), server: "c", held: true},
		"one has finished":                  {before: settled(claimer.Finished, "1"), server: "c", held: true},
		"one has crashed":                   {before: settled(claimer.Crashed, "1"), server: "c", servers: []ider.Server{"b"}},
		"again where it crashed":            {before: settled(claimer.Crashed, "1"), server: "a", servers: []ider.Server{"b"}},
		"both have crashed":                 {before: settled(claimer.Crashed, "1", "2"), server: "c"},
		"a crash was told twice":            {before: settled(claimer.Crashed, "1", "1"), server: "c", servers: []ider.Server{"b"}},
		"finished long ago":                 {before: settled(claimer.Finished, "1"), server: "c", after: 2 * time.Minute, held: true},
		"leases over":                       {before: settled(claimer.Ended), server: "c", after: time.Minute, held: true},
		"crashes long ago":                  {before: settled(claimer.Crashed, "1", "2"), server: "c", after: 10 * time.Minute, held: true},
		"an unknown attempt is said to end": {before: settled(claimer.Crashed, "x"), server: "c", servers: []ider.Server{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := claimer.New(claimer.Config{})
			test.before(c)
			servers, held := claim(c, test.server, "new", now.Add(test.after))
			is.Equal(held, test.held)
			is.Equal(len(servers), len(test.servers))
			for i := range servers {
				is.Equal(servers[i], test.servers[i])
			}
		})
	}
}

// A copy that crashes after another finished is bounded again.
func TestCrashEndsTrust(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := claimer.New(claimer.Config{})
	for i, server := range []ider.Server{"a", "b"} {
		claim(c, server, ider.Attempt(fmt.Sprint(i)), now)
	}
	c.Settle("f", "0", claimer.Finished, now)
	c.Settle("f", "1", claimer.Crashed, now)
	_, held := claim(c, "c", "2", now)
	is.True(held)
	_, held = claim(c, "d", "3", now)
	is.True(!held)
}

// What is over is forgotten; while everything held is in force, more requests
// run unbounded.
func TestRoom(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := claimer.New(claimer.Config{MaxRequests: 2})
	for _, f := range []string{"f", "g", "h"} {
		_, held := c.Claim(claimer.Claim{Fingerprint: f, Server: "a", Attempt: "1", Lease: time.Second}, now)
		is.True(held)
	}
	is.Equal(c.Len(), 2)
	c.Settle("f", "1", claimer.Ended, now)
	is.Equal(c.Len(), 1)
	now = now.Add(time.Second)
	c.Claim(claimer.Claim{Fingerprint: "h", Server: "a", Attempt: "1", Lease: time.Second}, now)
	c.Claim(claimer.Claim{Fingerprint: "i", Server: "a", Attempt: "1", Lease: time.Second}, now)
	is.Equal(c.Len(), 2)
}

// Copies of a request that crashes whatever runs it, in random order at nine
// servers: two crash at most, whatever runs and ends between.
func TestTwoCrashAtMost(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Now()
		c := claimer.New(claimer.Config{})
		running := map[ider.Attempt]ider.Server{}
		crashes := 0
		for step := range 200 {
			server := ider.Server(fmt.Sprint(random.IntN(9)))
			attempt := ider.Attempt(fmt.Sprint(step))
			if _, held := claim(c, server, attempt, now); held {
				running[attempt] = server
			}
			if random.IntN(4) > 0 {
				continue
			}
			crashes += crash(c, running, random, now)
		}
		if crashes != 2 {
			t.Fatalf("seed %d: %d crashes", seed, crashes)
		}
	}
}

// crash ends the server of some attempt and tells of all that ran there.
func crash(c *claimer.Claimer, running map[ider.Attempt]ider.Server, random *rand.Rand, now time.Time) int {
	var servers []ider.Server
	for n := range 9 {
		for _, s := range running {
			if s == ider.Server(fmt.Sprint(n)) {
				servers = append(servers, s)
				break
			}
		}
	}
	if len(servers) == 0 {
		return 0
	}
	dead := servers[random.IntN(len(servers))]
	for a, s := range running {
		if s == dead {
			c.Settle("f", a, claimer.Crashed, now)
			delete(running, a)
		}
	}
	return 1
}

func BenchmarkClaim(b *testing.B) {
	c := claimer.New(claimer.Config{})
	now := time.Now()
	for i := 0; b.Loop(); i++ {
		q := claimer.Claim{Fingerprint: fmt.Sprint(i % 10_000), Server: "a", Attempt: "1", Lease: time.Minute}
		c.Claim(q, now)
		c.Settle(q.Fingerprint, "1", claimer.Finished, now)
	}
}
