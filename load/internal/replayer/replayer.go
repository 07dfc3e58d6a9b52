package replayer

import (
	"math/rand/v2"
	"strconv"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/emulator"
	"bamboohill/core/loadtracker"
	"bamboohill/core/viewer"
)

// Config describes a replay.
type Config struct {
	Load   Load
	Policy assigner.Policy
	Seed   uint64
}

// Times of the replay.
const (
	hearing   = 10 * time.Millisecond // default of Load.Hearing: few entries tell each other at once
	tail      = 20 * time.Second      // in which answers may end after the traffic
	retryLow  = 2 * time.Second       // what refused callers are told
	retrySpan = 2 * time.Second
	asking    = 20 * time.Millisecond // until a prompt that waits is decided on again
)

// tokensPerEvent is what one pass of the sheets' engines writes.
const tokensPerEvent = 46

// epoch is when the clock of the replay starts.
var epoch = time.Unix(0, 0)

// replay is one run.
type replay struct {
	config Config
	random *rand.Rand
	engine *emulator.Emulator
	books  []*loadtracker.Tracker
	seeds  []uint64 // of the entries' own orders
	ids    []viewer.ServerID
	number int
	result *Result
}

// request is one prompt of a caller.
type request struct {
	class  int
	tokens int
	events int
	asked  time.Duration
	again  bool
	first  time.Duration
	last   time.Duration // newest event
	paused bool          // longer than allowed
}

// Replay plays a load.
func Replay(c Config) *Result {
	r := &replay{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 7)),
		engine: emulator.New(emulator.Config{Engines: c.Load.Engines, Engine: c.Load.Engine}),
		result: newResult(c.Load),
	}
	for range c.Load.Entries {
		r.books = append(r.books, loadtracker.New())
		r.seeds = append(r.seeds, r.random.Uint64())
	}
	for i := range c.Load.Engines {
		r.ids = append(r.ids, viewer.ServerID(strconv.Itoa(i)))
	}
	for class := range c.Load.Classes {
		r.arrivals(class)
	}
	if r.config.Load.Hearing <= 0 {
		r.config.Load.Hearing = hearing
	}
	for at := time.Duration(0); at < c.Load.Length+tail; at += r.config.Load.Hearing {
		r.engine.Schedule(at, r.exchange)
	}
	r.engine.Run(c.Load.Length + tail)
	return r.result
}

// arrivals schedules the requests of a class: a Poisson process whose rate
// follows the phases, by thinning.
func (r *replay) arrivals(class int) {
	c := r.config.Load.Classes[class]
	most := 0.0
	for _, p := range r.config.Load.Phases {
		most = max(most, p.Factors[class])
	}
	at := time.Duration(0)
	for {
		at += time.Duration(r.random.ExpFloat64() / (most * c.Rate) * float64(time.Second))
		if at >= r.config.Load.Length {
			return
		}
		q := &request{class: class, asked: at, tokens: c.Tokens.draw(r.random), events: c.Events.draw(r.random)}
		if r.random.Float64() >= r.config.Load.factor(class, at)/most {
			continue
		}
		r.engine.Schedule(at, func() {
			r.result.asked(q)
			r.arrive(q, r.engine.Now())
		})
	}
}

// exchange tells every entry what the others have under way.
func (r *replay) exchange() {
	now := epoch.Add(r.engine.Now())
	for i, b := range r.books {
		loads := map[uint32]loadtracker.Load{}
		for id, l := range b.OwnLoads(now) {
			loads[loadtracker.Hash(id)] = l
		}
		pace, _ := b.PrefillDemand(now)
		for j, other := range r.books {
			if i != j {
				other.ApplyPeerLoads(strconv.Itoa(i), loads, pace, now)
			}
		}
	}
}

// arrive brings a request to one of the entries.
func (r *replay) arrive(q *request, came time.Duration) {
	r.place(q, r.random.IntN(len(r.books)), came)
}

// place decides on a request, which came to an entry at a time.
func (r *replay) place(q *request, entry int, came time.Duration) {
	books := r.books[entry]
	c := r.config.Load.Classes[q.class]
	now := epoch.Add(r.engine.Now())
	all := make([]assigner.Candidate, len(r.ids))
	for i, id := range r.ids {
		all[i] = assigner.Candidate{
			ID: id, Engine: &r.config.Load.Engine, Load: books.Load(id, now), EntryRank: assigner.EntryRank(r.seeds[entry], id),
		}
	}
	_, pace := books.PrefillDemand(now)
	prompt := assigner.Prompt{
		Tokens: q.tokens, Answer: q.events * tokensPerEvent, Target: c.Target, Gap: c.Gap,
		Waited: r.engine.Now() - came, CallerTimeout: q.asked + c.Limit - came, PrefillLoad: pace / float64(len(all)), UpdateDelay: r.config.Load.Hearing,
	}
	switch plan, verdict := r.config.Policy.Choose(prompt, all); verdict {
	case assigner.Serve:
		r.submit(q, books, prompt, plan)
	case assigner.Wait:
		r.engine.Schedule(r.engine.Now()+asking, func() { r.place(q, entry, came) })
	case assigner.Refuse:
		r.refuse(q)
	}
}

// refuse sends a caller away, who comes back once.
func (r *replay) refuse(q *request) {
	if q.again {
		r.result.refused(q)
		return
	}
	q.again = true
	wait := retryLow + time.Duration(r.random.Float64()*float64(retrySpan))
	r.engine.Schedule(r.engine.Now()+wait, func() { r.arrive(q, r.engine.Now()) })
}

// submit hands a request to its engines.
func (r *replay) submit(q *request, books *loadtracker.Tracker, p assigner.Prompt, plan assigner.Plan) {
	c := r.config.Load.Classes[q.class]
	r.number++
	attempt := strconv.Itoa(r.number)
	clock := func() time.Time { return epoch.Add(r.engine.Now()) }
	books.RecordPlacement(attempt, loadtracker.Work{
		Server: plan.Server, Helpers: plan.Helpers, HelperContextTokens: plan.Reserved, Prefill: plan.PrefillTime, ContextTokens: plan.Context,
		Pause: loadtracker.ClassifyPause(c.Gap),
	}, clock())
	j := emulator.Job{Engine: index(plan.Server), Reserved: plan.Reserved, Tokens: p.Tokens, Answer: p.Answer, Events: q.events}
	for _, h := range plan.Helpers {
		j.Helpers = append(j.Helpers, index(h))
	}
	j.OnFirst = func(now time.Duration) {
		q.first, q.last = now, now
		books.RecordFirstEvent(attempt, clock())
	}
	j.OnNext = func(now time.Duration) {
		q.paused = q.paused || now-q.last > c.Gap
		q.last = now
	}
	j.OnEnd = func(now time.Duration) {
		books.RecordEnd(attempt, clock())
		if now > q.asked+c.Limit {
			r.result.refused(q) // its caller has left
			return
		}
		r.result.answered(q)
	}
	if !r.engine.Submit(j) {
		books.RecordEnd(attempt, clock())
		r.refuse(q)
	}
}

// index returns the number of an engine.
func index(id viewer.ServerID) int {
	i, err := strconv.Atoi(string(id))
	if err != nil {
		panic(err) // ids are made from numbers above
	}
	return i
}
