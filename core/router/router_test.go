package router_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"bamboohill/core/hinter"
	"bamboohill/core/identifier"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
	"bamboohill/wire"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// server returns an open, idle model engine, changed by the given functions.
func server(id string, change ...func(*wire.Report)) watcher.Server {
	r := &wire.Report{
		Server: id, Kind: wire.Kind_KIND_MODEL, State: wire.State_STATE_OPEN, Offers: []*wire.Offer{{Model: "base", Version: "1", Adapters: []string{"x"}}},
		Memory: 2_000_000, Free: 2_000_000, Limit: 64, Prefill: 50_000, Decode: 100,
	}
	for _, do := range change {
		do(r)
	}
	return watcher.Server{Report: r, LastReport: origin}
}

func fleet(n int) []watcher.Server {
	var list []watcher.Server
	for i := range n {
		list = append(list, server(fmt.Sprintf("s%05d", i)))
	}
	return list
}

func job(prompt int64) router.Job {
	return router.Job{Kind: wire.Kind_KIND_MODEL, Model: "base", Prompt: prompt, Answer: 100, Deadline: origin.Add(time.Minute)}
}

func chain(tokens int64) hinter.Chain {
	return hinter.NewChain(tokens, func(block int64) uint64 { return uint64(block) * 7919 })
}

// allServers returns the job with every server as a candidate.
func allServers(j router.Job) router.Job {
	j.AllServers = true
	return j
}

func TestPick(t *testing.T) {
	queued := func(all, short, long int64) func(*wire.Report) {
		return func(r *wire.Report) { r.Queued, r.Brief, r.Long = all, short, long }
	}
	state := func(s wire.State) func(*wire.Report) { return func(r *wire.Report) { r.State = s } }
	full := func(r *wire.Report) { r.Running = r.GetLimit() }
	role := func(name string) func(*wire.Report) { return func(r *wire.Report) { r.Role = name } }
	small := func(r *wire.Report) { r.Memory, r.Free = 1000, 1000 }
	used := func(r *wire.Report) { r.Free = 1000 }
	version := router.Job{Kind: wire.Kind_KIND_MODEL, Model: "base", Version: "2", Prompt: 1}
	tests := map[string]struct {
		job  router.Job
		a, b watcher.Server
		want string // empty if no server can take the job
	}{
		"shorter queue":                                 {job: job(1000), a: server("a", queued(50_000, 50_000, 0)), b: server("b"), want: "b"},
		"short goes before long":                        {job: job(1000), a: server("a", queued(500_000, 0, 500_000)), b: server("b", queued(50_000, 50_000, 0)), want: "a"},
		"short goes before medium":                      {job: job(50_000), a: server("a", queued(100_000, 100_000, 0)), b: server("b", queued(90_000, 0, 0)), want: "b"},
		"medium avoids delaying long":                   {job: job(20_000), a: server("a", queued(500_000, 0, 500_000)), b: server("b", queued(15_000, 0, 0)), want: "b"},
		"medium delays long if the other queue is long": {job: job(20_000), a: server("a", queued(500_000, 0, 500_000)), b: server("b", queued(50_000, 0, 0)), want: "a"},
		"out":                     {job: job(1000), a: server("a", state(wire.State_STATE_OUT)), b: server("b", queued(900_000, 900_000, 0)), want: "b"},
		"leaving and down":        {job: job(1000), a: server("a", state(wire.State_STATE_LEAVING)), b: server("b", state(wire.State_STATE_DOWN))},
		"full":                    {job: job(1000), a: server("a", full), b: server("b", queued(50_000, 50_000, 0)), want: "b"},
		"too small":               {job: job(10_000), a: server("a", small), b: server("b", queued(900_000, 900_000, 0)), want: "b"},
		"too little free memory":  {job: job(10_000), a: server("a", used), b: server("b", queued(900_000, 900_000, 0)), want: "b"},
		"limit of long backlog":   {job: job(400_000), a: server("a", queued(400_000, 0, 400_000)), b: server("b", queued(900_000, 900_000, 0)), want: "b"},
		"role for long prompts":   {job: job(1000), a: server("a", role(router.RoleLong)), b: server("b", queued(900_000, 900_000, 0)), want: "b"},
		"role for short prompts":  {job: job(400_000), a: server("a", role(router.RoleShort)), b: server("b", queued(900_000, 900_000, 0)), want: "b"},
		"all have the wrong role": {job: job(1000), a: server("a", role(router.RoleLong)), b: server("b", full, role(router.RoleLong)), want: "a"},
		"unknown role":            {job: job(1000), a: server("a", role("decode")), b: server("b", queued(50_000, 50_000, 0)), want: "a"},
		"other version":           {job: version, a: server("a"), b: server("b")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := router.New(router.Config{Seed: 1})
			c, err := r.Pick(allServers(test.job), []watcher.Server{test.a, test.b}, origin)
			var none *router.NoServerError
			is.Equal(errors.As(err, &none), test.want == "")
			is.Equal(c.Server.GetServer(), test.want)
			if none != nil {
				is.True(none.RetryAfter > 0)
			}
		})
	}
}

func TestOwnPlacements(t *testing.T) {
	is := is.New(t)
	r := router.New(router.Config{Seed: 1})
	servers := fleet(8)
	var choices []router.Choice
	seen := map[string]int{}
	for range 16 {
		c, err := r.Pick(allServers(job(50_000)), servers, origin)
		is.NoErr(err)
		r.RecordPlacement(c, origin)
		choices = append(choices, c)
		seen[c.Server.GetServer()]++
	}
	is.Equal(len(seen), 8)
	for _, n := range seen {
		is.Equal(n, 2) // own placements spread the load although the view is unchanged
	}
	for _, c := range choices[:15] {
		r.RecordFirstToken(c)
		r.RecordEnd(c)
	}
	last := choices[15].Server.GetServer()
	for range 7 {
		c, _ := r.Pick(allServers(job(50_000)), servers, origin)
		r.RecordPlacement(c, origin)
		is.True(c.Server.GetServer() != last) // the only server with work
	}
	for i := range servers {
		servers[i].LastReport = origin.Add(time.Second) // these reports include the placements
	}
	c, _ := r.Pick(allServers(job(50_000)), servers, origin.Add(time.Second))
	is.Equal(c.FirstToken.Round(time.Millisecond), time.Second)
}

func TestPrefix(t *testing.T) {
	is := is.New(t)
	h := hinter.New(hinter.Config{})
	r := router.New(router.Config{Seed: 1, Hints: h})
	servers := fleet(100)
	j := job(50_000)
	j.Chain = chain(50_000)
	h.RecordPlacement("s00042", chain(30_000))
	c, err := r.Pick(j, servers, origin)
	is.NoErr(err)
	is.Equal(c.Server.GetServer(), "s00042")
	is.Equal(c.Cached, int64(24_576)) // the last prefix hash covers 48 blocks
	servers[42].Queued = 500_000
	c, _ = r.Pick(j, servers, origin)
	is.True(c.Server.GetServer() != "s00042") // the queue outweighs the cache
	j.Excluded = []identifier.Server{"s00042"}
	servers[42].Queued = 0
	c, _ = r.Pick(j, servers, origin)
	is.True(c.Server.GetServer() != "s00042")
}

func TestPriority(t *testing.T) {
	r := router.New(router.Config{Seed: 1})
	servers := fleet(1)
	priority := func(prompt int64, left time.Duration) int32 {
		j := job(prompt)
		j.Deadline = origin.Add(left)
		c, _ := r.Pick(j, servers, origin)
		return c.Priority
	}
	is := is.New(t)
	is.Equal(priority(1000, time.Minute), int32(0))
	is.True(priority(20_000, time.Minute) > 5_000)
	is.True(priority(200_000, 10*time.Minute) > priority(20_000, 10*time.Minute))
	is.True(priority(200_000, 30*time.Second) < priority(200_000, 10*time.Minute)) // the deadline makes it urgent earlier
	is.True(priority(200_000, time.Second) > priority(1000, time.Second))          // but never before a short request that arrives now
}

// TestPickReturnsEligibleServer checks for random views that the choice is a
// server that is open, large enough, not excluded, and offers the model; and that
// Pick finds one if there is any.
func TestPickReturnsEligibleServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []watcher.Server
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			servers = append(servers, server(fmt.Sprintf("s%02d", i), func(r *wire.Report) {
				r.State = wire.State(rapid.IntRange(1, 4).Draw(t, "state"))
				r.Memory = rapid.Int64Range(0, 300_000).Draw(t, "memory")
				r.Free = rapid.Int64Range(0, r.GetMemory()).Draw(t, "free")
				r.Running = rapid.Int32Range(0, 80).Draw(t, "running")
				r.Limit = rapid.Int32Range(0, 64).Draw(t, "limit")
				r.Queued = rapid.Int64Range(0, 1<<40).Draw(t, "queued")
				r.Prefill = rapid.Float64Range(-1, 1e6).Draw(t, "prefill")
			}))
		}
		j := job(rapid.Int64Range(1, 250_000).Draw(t, "prompt"))
		j.Chain = chain(j.Prompt)
		if len(servers) > 0 && rapid.Bool().Draw(t, "excluded") {
			j.Excluded = append(j.Excluded, identifier.Server(servers[0].GetServer()))
		}
		eligible := func(s watcher.Server) bool {
			return s.GetState() == wire.State_STATE_OPEN && s.GetMemory() >= j.Prompt+j.Answer && !slices.Contains(j.Excluded, identifier.Server(s.GetServer()))
		}
		h := hinter.New(hinter.Config{})
		h.RecordPlacement("s03", j.Chain)
		h.RecordPlacement("gone", j.Chain)
		r := router.New(router.Config{Seed: rapid.Uint64().Draw(t, "seed"), Hints: h})
		c, err := r.Pick(j, servers, origin)
		if (err == nil) != slices.ContainsFunc(servers, eligible) {
			t.Fatalf("error %v", err)
		}
		if err == nil && (!eligible(c.Server) || c.Priority < 0 || c.FirstToken < 0) {
			t.Fatalf("choice %+v", c)
		}
	})
}
