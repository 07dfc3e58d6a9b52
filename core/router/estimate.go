package router

import (
	"math"
	"time"

	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// class is the length class of a prompt. Classes are ordered by length.
type class int

const (
	short class = iota
	medium
	long
)

func classOf(prompt int64) class {
	switch {
	case prompt <= ShortTokens:
		return short
	case prompt >= LongTokens:
		return long
	}
	return medium
}

// Penalties for servers that are unlikely to accept a job now, in seconds. They
// rank such a server behind all others without excluding it, because the
// sidecar makes the final decision.
const (
	penaltyFull    = 2
	penaltyFailed  = 5
	penaltyMemory  = 30
	penaltyBacklog = 60
	penaltyRole    = 60
)

// chunkTokens is the number of tokens that an engine prefills before it checks
// its queue again. While a longer prompt is prefilled, a shorter one waits for
// half a chunk on average.
const chunkTokens = 2048

// classGapMillis is the distance between the priorities of two length classes
// if Aging is disabled, in milliseconds.
const classGapMillis = 500_000_000

// urgentFactor is the time left before the deadline at which a request becomes
// urgent, as a multiple of its own prefill time.
const urgentFactor = 2

// minWait is the time after which a request of a class becomes urgent, in
// seconds, without the part that grows with its own prefill time.
var minWait = [...]float64{short: 0, medium: 5, long: 20}

// waitPerPrefill is added to minWait, as a multiple of the request's own prefill
// time.
const waitPerPrefill = 10

// delayWeight is the cost of delaying the longer prompts in the backlog of a
// server, as a multiple of the job's own prefill time. It is zero for short
// prompts, which cause a negligible delay, and for long ones, which delay no
// other class.
var delayWeight = [...]float64{short: 0, medium: 1, long: 0}

// estimate is the predicted service of a job on one server. Times are in seconds.
type estimate struct {
	cost          float64 // firstToken plus penalties and the cost of delaying longer prompts
	firstToken    float64 // until the first token
	lastToken     float64 // until the last token
	idlePrefill   float64 // prefill on an idle server
	cached        int64   // tokens
	prefillTokens int64
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}

// estimate predicts the service of the job on a server.
func (s *search) estimate(server *watcher.Server) estimate {
	if s.job.Kind == wire.Kind_KIND_SERVICE {
		return s.estimateService(server)
	}
	r := s.router
	own := r.load(server)
	rate := server.GetPrefill()
	if rate <= 0 {
		rate = r.config.PrefillRate
	}
	e := estimate{}
	e.cached = s.cached(server.GetServer())
	e.prefillTokens = max(1, s.job.Prompt-e.cached)
	e.idlePrefill = float64(e.prefillTokens) / rate
	running := float64(server.GetRunning()) + float64(own.running)
	limit := float64(max(1, server.GetLimit()))
	ahead, behind := s.splitBacklog(server, &own, rate)
	slowdown := 1 + min(1, running/limit)/2
	prefill := ahead + float64(e.prefillTokens)
	if behind > 0 {
		prefill = math.Ceil(prefill/chunkTokens)*chunkTokens + chunkTokens/2
	}
	e.firstToken = slowdown * prefill / rate
	e.lastToken = e.firstToken + float64(s.job.Answer)/max(1, server.GetDecode())
	e.cost = e.firstToken + s.penalty(server, &own, running, limit)
	if behind > 0 && s.router.enabled(DelayCost) {
		e.cost += delayWeight[s.class] * e.idlePrefill
	}
	return e
}

// estimateService predicts the service of the job on a plain service. The cost is
// the share of slots in use plus penalties.
func (s *search) estimateService(server *watcher.Server) estimate {
	own := s.router.load(server)
	running := float64(server.GetRunning()) + float64(own.running)
	limit := float64(max(1, server.GetLimit()))
	e := estimate{cost: running/limit + penaltyFailed*float64(server.FailedCalls)}
	if running >= limit {
		e.cost += penaltyFull
	}
	return e
}

// splitBacklog returns the number of tokens that the engine would prefill before the
// job (ahead), and of those that would wait for the job (behind). rate is the prefill
// rate of the engine in tokens per second.
func (s *search) splitBacklog(server *watcher.Server, own *load, rate float64) (ahead, behind float64) {
	all := float64(server.GetQueued())
	longs := min(all, float64(server.GetLong()))
	shorts := min(all-longs, float64(server.GetBrief()))
	waiting := [...]float64{short: shorts, medium: all - longs - shorts, long: longs}
	done := rate * max(0, s.now.Sub(server.LastReport).Seconds()+s.router.config.ReportAge.Seconds())
	for c := range waiting {
		waiting[c] += float64(own.prefill[c])
		served := min(done, waiting[c])
		waiting[c] -= served
		done -= served
	}
	if !s.router.enabled(Priority) {
		return waiting[short] + waiting[medium] + waiting[long], 0
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

// penalty returns the sum of the penalties of a server, in seconds.
func (s *search) penalty(server *watcher.Server, own *load, running, limit float64) float64 {
	p := penaltyFailed * float64(server.FailedCalls)
	if running >= limit {
		p += penaltyFull * (running - limit + 1)
	}
	if server.GetFree()-own.memory < s.job.Prompt+s.job.Answer {
		p += penaltyMemory
	}
	if !suits(server, s.class) {
		p += penaltyRole
	}
	if s.class != long {
		return p
	}
	backlog := server.GetLong() + own.prefill[long]
	if s.router.enabled(LongBacklogLimit) && backlog > 0 && backlog+s.job.Prompt > s.router.config.LongBacklogLimit {
		p += penaltyBacklog
	}
	return p
}

// priority returns the time until the request becomes urgent, in milliseconds. A
// short request is urgent at once. A longer one becomes urgent after a wait that
// grows with its own prefill time, or earlier when its prefill takes half of the
// time that is left before the deadline after subtracting the decode time, but
// not before half of minWait plus its prefill time. The sidecar adds its clock to
// the value, so that an engine that serves the smallest value first prefers
// short requests until a longer one becomes urgent.
func (s *search) priority(e estimate) int32 {
	if !s.router.enabled(Priority) {
		return 0
	}
	if !s.router.enabled(Aging) || s.job.Deadline.IsZero() {
		return int32(s.class) * classGapMillis
	}
	if s.class == short {
		return 0
	}
	answer := e.lastToken - e.firstToken
	slack := s.job.Deadline.Sub(s.now).Seconds() - answer - urgentFactor*e.idlePrefill
	wait := minWait[s.class] + waitPerPrefill*e.idlePrefill
	least := minWait[s.class]/2 + e.idlePrefill
	return int32(min(max(least, min(wait, slack))*1000, classGapMillis))
}
