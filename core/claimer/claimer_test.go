package claimer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/core/claimer"
	"bamboohill/core/identifier"

	"github.com/matryer/is"
)

// claim claims one more copy of request f on a server.
func claim(c *claimer.Claimer, server identifier.Server, attempt identifier.Attempt, now time.Time) ([]identifier.Server, bool) {
	return c.Claim(claimer.Claim{Fingerprint: "f", Server: server, Attempt: attempt, Lease: time.Minute}, now)
}

func TestClaim(t *testing.T) {
	now := time.Now()
	settled := func(result claimer.Settlement, attempts ...identifier.Attempt) func(c *claimer.Claimer) {
		return func(c *claimer.Claimer) {
			claim(c, "a", "1", now)
			claim(c, "b", "2", now)
			for _, a := range attempts {
				c.Settle("f", a, result, now)
			}
		}
	}
	tests := map[string]struct {
		before  func(*claimer.Claimer)
		server  identifier.Server
		after   time.Duration
		granted bool
		servers []identifier.Server
	}{
		"first":                       {before: func(*claimer.Claimer) {}, server: "a", granted: true},
		"third server":                {before: settled(claimer.Ended), server: "c", servers: []identifier.Server{"a", "b"}},
		"joins another copy":          {before: settled(claimer.Ended), server: "b", granted: true},
		"one has ended":               {before: settled(claimer.Ended, "1"), server: "c", granted: true},
		"one has finished":            {before: settled(claimer.Finished, "1"), server: "c", granted: true},
		"one has crashed":             {before: settled(claimer.Crashed, "1"), server: "c", servers: []identifier.Server{"b"}},
		"same server after its crash": {before: settled(claimer.Crashed, "1"), server: "a", servers: []identifier.Server{"b"}},
		"both have crashed":           {before: settled(claimer.Crashed, "1", "2"), server: "c"},
		"crash settled twice":         {before: settled(claimer.Crashed, "1", "1"), server: "c", servers: []identifier.Server{"b"}},
		"finished long ago":           {before: settled(claimer.Finished, "1"), server: "c", after: 2 * time.Minute, granted: true},
		"leases expired":              {before: settled(claimer.Ended), server: "c", after: time.Minute, granted: true},
		"crashes long ago":            {before: settled(claimer.Crashed, "1", "2"), server: "c", after: 10 * time.Minute, granted: true},
		"unknown attempt settled":     {before: settled(claimer.Crashed, "x"), server: "c", servers: []identifier.Server{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := claimer.New(claimer.Config{})
			test.before(c)
			servers, granted := claim(c, test.server, "new", now.Add(test.after))
			is.Equal(granted, test.granted)
			is.Equal(len(servers), len(test.servers))
			for i := range servers {
				is.Equal(servers[i], test.servers[i])
			}
		})
	}
}

// TestCrashEndsTrust checks that the limit applies again if a copy crashes after
// another one has finished.
func TestCrashEndsTrust(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := claimer.New(claimer.Config{})
	for i, server := range []identifier.Server{"a", "b"} {
		claim(c, server, identifier.Attempt(fmt.Sprint(i)), now)
	}
	c.Settle("f", "0", claimer.Finished, now)
	c.Settle("f", "1", claimer.Crashed, now)
	_, granted := claim(c, "c", "2", now)
	is.True(granted)
	_, granted = claim(c, "d", "3", now)
	is.True(!granted)
}

// TestMaxRequests checks that requests without active state are dropped, and that
// further requests run without a limit while all state is active.
func TestMaxRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := claimer.New(claimer.Config{MaxRequests: 2})
	for _, f := range []string{"f", "g", "h"} {
		_, granted := c.Claim(claimer.Claim{Fingerprint: f, Server: "a", Attempt: "1", Lease: time.Second}, now)
		is.True(granted)
	}
	is.Equal(c.Len(), 2)
	c.Settle("f", "1", claimer.Ended, now)
	is.Equal(c.Len(), 1)
	now = now.Add(time.Second)
	c.Claim(claimer.Claim{Fingerprint: "h", Server: "a", Attempt: "1", Lease: time.Second}, now)
	c.Claim(claimer.Claim{Fingerprint: "i", Server: "a", Attempt: "1", Lease: time.Second}, now)
	is.Equal(c.Len(), 2)
}

// TestAtMostTwoCrashes sends copies of a request that crashes every server, in
// random order to nine servers. Two servers crash, in whatever order copies run
// and crash.
func TestAtMostTwoCrashes(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Now()
		c := claimer.New(claimer.Config{})
		running := map[identifier.Attempt]identifier.Server{}
		crashes := 0
		for step := range 200 {
			server := identifier.Server(fmt.Sprint(random.IntN(9)))
			attempt := identifier.Attempt(fmt.Sprint(step))
			if _, granted := claim(c, server, attempt, now); granted {
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

// crash crashes the server of a random attempt and settles all attempts that ran
// on it. It returns the number of crashed servers.
func crash(c *claimer.Claimer, running map[identifier.Attempt]identifier.Server, random *rand.Rand, now time.Time) int {
	var servers []identifier.Server
	for n := range 9 {
		for _, s := range running {
			if s == identifier.Server(fmt.Sprint(n)) {
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
