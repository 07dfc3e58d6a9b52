package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bamboohill/core/chooser"
	"bamboohill/core/hinter"
	"bamboohill/core/identifier"
	"bamboohill/core/limiter"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// Setup describes a run. Zero values mean the defaults.
type Setup struct {
	Policy  Policy
	Seed    uint64
	Engines int
	Entries int           // 3
	Lag     time.Duration // of reports on their way, 100 ms
	Every   time.Duration // between reports, 500 ms
	Warmup  time.Duration // arrivals before it are not counted, 60 s
	Loss    float64       // part of the reports that are lost
	NoRide  bool          // answers carry no reports
	Fair    bool          // accounts share the work under overload
}

// Defaults of Setup.
const (
	defaultEntries = 3
	defaultLag     = 100 * time.Millisecond
	defaultEvery   = 500 * time.Millisecond
	defaultWarmup  = time.Minute
)

// sampleEvery is how often a sidecar looks at its engine.
const sampleEvery = 100 * time.Millisecond

// attempts is how many servers an entry tries for one request.
const attempts = 3

// start is the moment at which runs begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a moment of a run.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// fleet is one run.
type fleet struct {
	setup    Setup
	now      time.Duration
	events   events
	seq      int
	random   *rand.Rand
	engines  []*engine
	named    map[string]*engine
	entries  []*entry
	result   *Result
	last     time.Duration
	arrivals time.Duration // the last one
}

// entry is one entry: its view and its decisions.
type entry struct {
	fleet   *fleet
	servers []watcher.Server
	hints   *hinter.Hinter
	chooser *chooser.Chooser
	limits  *limiter.Limiter
}

// Run runs a trace and returns what was measured.
func Run(setup Setup, trace []*Request) *Result {
	f := newFleet(setup)
	for _, q := range trace {
		f.after(q.At, func() { f.arrive(q) })
		f.arrivals = max(f.arrivals, q.At)
		f.last = max(f.last, q.At+q.Timeout)
	}
	f.beat()
	f.after(f.arrivals, f.result.usage(f))
	for len(f.events) > 0 && f.now <= f.last {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.result.finish(f)
	return f.result
}

func newFleet(setup Setup) *fleet {
	if setup.Entries <= 0 {
		setup.Entries = defaultEntries
	}
	if setup.Lag <= 0 {
		setup.Lag = defaultLag
	}
	if setup.Every <= 0 {
		setup.Every = defaultEvery
	}
	if setup.Warmup <= 0 {
		setup.Warmup = defaultWarmup
	}
	f := &fleet{
		setup: setup, random: rand.New(rand.NewPCG(setup.Seed, 3)), named: map[string]*engine{}, result: newResult(setup),
	}
	all := &oracle{engines: map[identifier.Server]*engine{}}
	for i := range setup.Engines {
		e := newEngine(i)
		f.engines = append(f.engines, e)
		f.named[e.id] = e
		all.engines[identifier.Server(e.id)] = e
	}
	all.list = f.engines
	for i := range setup.Entries {
		n := &entry{fleet: f, hints: hinter.New(hinter.Config{})}
		n.limits = limiter.New(limiter.Config{Fair: limiter.FairConfig{Disabled: !setup.Fair}})
		var hints router.Hints = n.hints
		if setup.Policy == AllKnowing {
			hints = all
		}
		n.chooser = newChooser(setup.Policy, setup.Seed+uint64(i)<<8, hints)
		for _, e := range f.engines {
			n.servers = append(n.servers, watcher.Server{Report: e.report(), LastReport: start})
		}
		f.entries = append(f.entries, n)
	}
	return f
}

func (f *fleet) after(wait time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + wait, seq: f.seq, do: do})
}

func (f *fleet) clock() time.Time { return start.Add(f.now) }

// beat starts the samples and the reports.
func (f *fleet) beat() {
	var sample func()
	sample = func() {
		for _, e := range f.engines {
			e.look()
		}
		f.after(sampleEvery, sample)
	}
	f.after(0, sample)
	for _, e := range f.engines {
		var report func()
		report = func() {
			f.send(e)
			f.after(f.setup.Every, report)
		}
		f.after(time.Duration(f.random.Int64N(int64(f.setup.Every))), report)
	}
}

// early sends a report as soon as a long prompt is taken, as sidecars do.
func (f *fleet) early(j *job) {
	if j.Class != Long || f.setup.Policy == NoEarly {
		return
	}
	j.engine.look()
	f.send(j.engine)
}

// send puts a report with the newest cache events on its way to every entry.
func (f *fleet) send(e *engine) {
	r := e.report()
	r.Cached, r.Dropped = e.added, e.dropped
	e.noted += uint64(len(e.added) + len(e.dropped))
	r.Noted = e.noted
	e.added, e.dropped = nil, nil
	for _, n := range f.entries {
		if f.random.Float64() < f.setup.Loss {
			continue
		}
		f.after(f.setup.Lag, func() {
			n.hints.ApplyReport(r)
			n.hear(r)
		})
	}
}

// hear takes a report into the view unless a newer one is there.
func (n *entry) hear(r *wire.Report) {
	for i := range n.servers {
		s := &n.servers[i]
		if s.GetServer() == r.GetServer() && s.GetSerial() < r.GetSerial() {
			*s = watcher.Server{Report: r, LastReport: n.fleet.clock()}
		}
	}
	if n.fleet.setup.Fair {
		n.limits.SetBacklog(limiter.Backlog(n.servers))
	}
}

// ride brings a report on an answer.
func (n *entry) ride(e *engine) {
	if !n.fleet.setup.NoRide {
		n.hear(e.report())
	}
}

// arrive is a request's coming to an entry.
func (f *fleet) arrive(q *Request) {
	n := f.entries[f.random.IntN(len(f.entries))]
	t := f.result.arrived(q)
	release, err := n.limits.Take(q.Account, &wire.Plan{}, q.Prompt+q.Answer, f.clock())
	if err != nil {
		t.limited = true
		return
	}
	j := &job{Request: q, entry: n, tally: t, release: release}
	n.place(j)
}

// place tries servers until one takes the job.
func (n *entry) place(j *job) {
	f := n.fleet
	task := router.Job{
		Kind: wire.Kind_KIND_MODEL, Model: model, Prompt: j.Prompt, Answer: j.Answer, Chain: j.Chain,
		Deadline: start.Add(j.At + j.Timeout),
	}
	for try := range attempts {
		pick := n.chooser.Choose
		if try > 0 {
			pick = n.chooser.Pick
		}
		choice, err := pick(task, n.servers, f.clock())
		if err != nil {
			break
		}
		n.chooser.RecordPlacement(choice, f.clock())
		e := f.named[choice.Server.GetServer()]
		j.choice, j.engine = choice, e
		taken := e.enter(j, f.now)
		n.ride(e)
		if taken {
			f.early(j)
			f.result.placed(j, f)
			f.after(j.Timeout, func() { f.expire(j) })
			f.run(e)
			return
		}
		n.chooser.RecordEnd(choice)
		task.Excluded = append(task.Excluded, identifier.Server(e.id))
	}
	j.release(false, f.clock())
	j.tally.refused = true
}

// expire gives a job up at its deadline.
func (f *fleet) expire(j *job) {
	if j.over {
		return
	}
	j.engine.leave(j)
	j.engine.wasted += j.done
	if j.tally.first > 0 {
		j.entry.chooser.RecordLastToken(j.choice, f.now-j.At-j.tally.first)
	}
	j.entry.chooser.RecordEnd(j.choice)
	j.release(false, f.clock())
}

// begun notes a job's first token.
func (n *entry) begun(j *job) {
	j.tally.first = n.fleet.now - j.At
	n.chooser.RecordFirstToken(j.choice, j.Prompt, j.tally.first)
}

// finished notes a job's last token.
func (n *entry) finished(j *job) {
	j.tally.whole = n.fleet.now - j.At
	n.chooser.RecordLastToken(j.choice, j.tally.whole-j.tally.first)
	n.chooser.RecordEnd(j.choice)
	j.release(true, n.fleet.clock())
	n.ride(j.engine)
}

// run starts an engine's steps if it stands still.
func (f *fleet) run(e *engine) {
	if e.stepping {
		return
	}
	s := e.begin()
	if s == nil {
		return
	}
	e.stepping = true
	f.after(s.length, func() {
		e.stepping = false
		e.end(s)
		f.run(e)
	})
}
