package router

import (
	"math"
	"time"

	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// class is a length class of prompts.
type class int

const (
	brief class = iota
	middle
	long
)

func classOf(prompt int64) class {
	switch {
	case prompt <= ShortTokens:
		return brief
	case prompt >= LongTokens:
		return long
	}
	return middle
}

// Penalties of a server that can hardly take a job now, in seconds. They keep
// it behind every other server but do not rule it out: the gate decides.
const (
	penaltyFull   = 2
	penaltyFailed = 5
	penaltyMemory = 30
	penaltyBound  = 60
	penaltyRole   = 60
)

// chunk is the prefill work that an engine does between two looks at its
// queue, in tokens: a short prompt waits for half of it if a longer one runs.
const chunk = 2048

// classGap keeps the length classes apart where priorities do not age, in
// milliseconds.
const classGap = 500_000_000

// urgent is how many times its own prefill a request has left before its
// deadline when it counts as urgent.
const urgent = 2

// patience is how long a request of a class waits at least before it counts as
// urgent, in seconds; to it comes a multiple of its own prefill.
var patience = [...]float64{brief: 0, middle: 5, long: 20}

const stretch = 10

// yield is how much the delay of a longer prompt in work there counts against a
// server, as a multiple of the job's own prefill. It counts where the job is
// long enough to be felt and others can take it.
var yield = [...]float64{brief: 0, middle: 1, long: 0}

// estimate is what a job would meet on one server. Times are in seconds.
type estimate struct {
	cost   float64 // first with penalties
	first  float64 // until the first token
	whole  float64 // until the last token
	alone  float64 // prefill on an idle server
	cached int64   // tokens
	work   int64   // tokens to prefill
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}

// estimate returns what the job would meet on a server.
func (s *search) estimate(server *watcher.Server) estimate {
	if s.job.Kind == wire.Kind_KIND_SERVICE {
		return s.service(server)
	}
	r := s.r
	o := r.load(server)
	speed := server.GetPrefill()
	if speed <= 0 {
		speed = r.config.Speed
	}
	e := estimate{}
	e.cached = s.cached(server.GetServer())
	e.work = max(1, s.job.Prompt-e.cached)
	e.alone = float64(e.work) / speed
	running := float64(server.GetRunning()) + float64(o.running)
	limit := float64(max(1, server.GetLimit()))
	ahead, behind := s.ahead(server, &o, speed)
	slow := 1 + min(1, running/limit)/2
	prefill := ahead + float64(e.work)
	if behind > 0 {
		prefill = math.Ceil(prefill/chunk)*chunk + chunk/2
	}
	e.first = slow * prefill / speed
	e.whole = e.first + float64(s.job.Answer)/max(1, server.GetDecode())
	e.cost = e.first + s.penalty(server, &o, running, limit)
	if behind > 0 && s.r.on(DelayCost) {
		e.cost += yield[s.class] * e.alone
	}
	return e
}

// service estimates a plain service by its share of slots in use.
func (s *search) service(server *watcher.Server) estimate {
	o := s.r.load(server)
	running := float64(server.GetRunning()) + float64(o.running)
	limit := float64(max(1, server.GetLimit()))
	e := estimate{cost: running/limit + penaltyFailed*float64(server.Failed)}
	if running >= limit {
		e.cost += penaltyFull
	}
	return e
}

// ahead returns the prefill tokens that an engine would do before the job's,
// and those that would wait for it.
func (s *search) ahead(server *watcher.Server, o *load, speed float64) (ahead, behind float64) {
	all := float64(server.GetQueued())
	longs := min(all, float64(server.GetLong()))
	briefs := min(all-longs, float64(server.GetBrief()))
	waiting := [...]float64{brief: briefs, middle: all - longs - briefs, long: longs}
	done := speed * max(0, s.now.Sub(server.Heard).Seconds()+s.r.config.Lag.Seconds())
	for c := range waiting {
		waiting[c] += float64(o.prefill[c])
		served := min(done, waiting[c])
		waiting[c] -= served
		done -= served
	}
	if !s.r.on(Priority) {
		return waiting[brief] + waiting[middle] + waiting[long], 0
	}
	for c, tokens := range waiting {
		if class(c) <= s.class {
			ahead += tokens
		} else {
			behind += tokens
		}
	}
	return ahead, behind
}

func (s *search) penalty(server *watcher.Server, o *load, running, limit float64) float64 {
	p := penaltyFailed * float64(server.Failed)
	if running >= limit {
		p += penaltyFull * (running - limit + 1)
	}
	if server.GetFree()-o.memory < s.job.Prompt+s.job.Answer {
		p += penaltyMemory
	}
	if !suits(server, s.class) {
		p += penaltyRole
	}
	if s.class != long {
		return p
	}
	backlog := server.GetLong() + o.prefill[long]
	if s.r.on(LongBacklogLimit) && backlog > 0 && backlog+s.job.Prompt > s.r.config.LongBacklogLimit {
		p += penaltyBound
	}
	return p
}

// priority returns when the request turns urgent, in milliseconds from now: a
// short one at once, a longer one after a time that grows with its own prefill,
// and in any case when half of what is left until its deadline, its answer's
// time taken off, is its own prefill. The sidecar adds its clock to it, so that
// an engine which serves the smallest number first serves the short ones
// first, and a long one once it is due.
func (s *search) priority(e estimate) int32 {
	if !s.r.on(Priority) {
		return 0
	}
	if !s.r.on(Aging) || s.job.Deadline.IsZero() {
		return int32(s.class) * classGap
	}
	if s.class == brief {
		return 0
	}
	answer := e.whole - e.first
	slack := s.job.Deadline.Sub(s.now).Seconds() - answer - urgent*e.alone
	wait := patience[s.class] + stretch*e.alone
	least := patience[s.class]/2 + e.alone
	return int32(min(max(least, min(wait, slack))*1000, classGap))
}
