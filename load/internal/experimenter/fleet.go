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

// Setup configures a run. Zero values select the defaults in parentheses.
type Setup struct {
	Policy         Policy
	Seed           uint64
	Engines        int
	Entries        int           // (3)
	ReportDelay    time.Duration // network delay of reports (100 ms)
	ReportInterval time.Duration // between two reports of an engine (500 ms)
	Warmup         time.Duration // requests that arrive earlier are not counted (60 s)
	ReportLoss     float64       // fraction of reports that are lost
	NoPiggyback    bool          // answers carry no reports
	FairShare      bool          // under overload, limit accounts to fair shares
}

// Defaults of Setup.
const (
	defaultEntries        = 3
	defaultReportDelay    = 100 * time.Millisecond
	defaultReportInterval = 500 * time.Millisecond
	defaultWarmup         = time.Minute
)

// sampleInterval is how often a sidecar samples the load of its engine.
const sampleInterval = 100 * time.Millisecond

// maxAttempts is the number of servers that an entry tries for one request.
const maxAttempts = 3

// start is the simulated time at which runs begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function scheduled at a time of a run.
type event struct {
	at       time.Duration
	sequence int // orders events at the same time
	run      func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// fleet is the state of one run: engines, entries and pending events.
type fleet struct {
	setup       Setup
	now         time.Duration
	events      events
	sequence    int
	random      *rand.Rand
	engines     []*engine
	byID        map[string]*engine
	entries     []*entry
	result      *Result
	end         time.Duration
	lastArrival time.Duration // time of the last arrival
}

// entry is a simulated entry: its view of the engines and its decision code.
type entry struct {
	fleet   *fleet
	servers []watcher.Server
	hints   *hinter.Hinter
	chooser *chooser.Chooser
	limiter *limiter.Limiter
}

// Run simulates a trace and returns the measurements.
func Run(setup Setup, trace []*Request) *Result {
	f := newFleet(setup)
	for _, q := range trace {
		f.schedule(q.Arrival, func() { f.arrive(q) })
		f.lastArrival = max(f.lastArrival, q.Arrival)
		f.end = max(f.end, q.Arrival+q.Timeout)
	}
	f.startReports()
	f.schedule(f.lastArrival, f.result.recordUtilization(f))
	for len(f.events) > 0 && f.now <= f.end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.result.finish(f)
	return f.result
}

func newFleet(setup Setup) *fleet {
	if setup.Entries <= 0 {
		setup.Entries = defaultEntries
	}
	if setup.ReportDelay <= 0 {
		setup.ReportDelay = defaultReportDelay
	}
	if setup.ReportInterval <= 0 {
		setup.ReportInterval = defaultReportInterval
	}
	if setup.Warmup <= 0 {
		setup.Warmup = defaultWarmup
	}
	f := &fleet{
		setup: setup, random: rand.New(rand.NewPCG(setup.Seed, 3)), byID: map[string]*engine{}, result: newResult(setup),
	}
	all := &oracle{engines: map[identifier.Server]*engine{}}
	for i := range setup.Engines {
		e := newEngine(i)
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
		all.engines[identifier.Server(e.id)] = e
	}
	all.list = f.engines
	for i := range setup.Entries {
		n := &entry{fleet: f, hints: hinter.New(hinter.Config{})}
		n.limiter = limiter.New(limiter.Config{Fair: limiter.FairConfig{Disabled: !setup.FairShare}})
		var hints router.Hints = n.hints
		if setup.Policy == TrueCacheState {
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

func (f *fleet) schedule(wait time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, event{at: f.now + wait, sequence: f.sequence, run: do})
}

func (f *fleet) clock() time.Time { return start.Add(f.now) }

// startReports schedules the periodic load samples and reports.
func (f *fleet) startReports() {
	var sample func()
	sample = func() {
		for _, e := range f.engines {
			e.sampleLoad()
		}
		f.schedule(sampleInterval, sample)
	}
	f.schedule(0, sample)
	for _, e := range f.engines {
		var report func()
		report = func() {
			f.sendReport(e)
			f.schedule(f.setup.ReportInterval, report)
		}
		f.schedule(time.Duration(f.random.Int64N(int64(f.setup.ReportInterval))), report)
	}
}

// reportEarly sends a report as soon as a long prompt is accepted, as sidecars
// do.
func (f *fleet) reportEarly(j *job) {
	if j.Class != Long || f.setup.Policy == NoEarlyReports {
		return
	}
	j.engine.sampleLoad()
	f.sendReport(j.engine)
}

// sendReport schedules the delivery of a report with the pending cache events
// to every entry.
func (f *fleet) sendReport(e *engine) {
	r := e.report()
	r.Cached, r.Dropped = e.addedHashes, e.droppedHashes
	e.eventsReported += uint64(len(e.addedHashes) + len(e.droppedHashes))
	r.Noted = e.eventsReported
	e.addedHashes, e.droppedHashes = nil, nil
	for _, n := range f.entries {
		if f.random.Float64() < f.setup.ReportLoss {
			continue
		}
		f.schedule(f.setup.ReportDelay, func() {
			n.hints.ApplyReport(r)
			n.applyReport(r)
		})
	}
}

// applyReport updates the view unless it holds a newer report.
func (n *entry) applyReport(r *wire.Report) {
	for i := range n.servers {
		s := &n.servers[i]
		if s.GetServer() == r.GetServer() && s.GetSerial() < r.GetSerial() {
			*s = watcher.Server{Report: r, LastReport: n.fleet.clock()}
		}
	}
	if n.fleet.setup.FairShare {
		n.limiter.SetBacklog(limiter.Backlog(n.servers))
	}
}

// piggyback applies the report that an answer carries.
func (n *entry) piggyback(e *engine) {
	if !n.fleet.setup.NoPiggyback {
		n.applyReport(e.report())
	}
}

// arrive hands a request to a random entry, which applies its limits.
func (f *fleet) arrive(q *Request) {
	n := f.entries[f.random.IntN(len(f.entries))]
	t := f.result.addRequest(q)
	release, err := n.limiter.Take(q.Account, &wire.Plan{}, q.Prompt+q.Answer, f.clock())
	if err != nil {
		t.limited = true
		return
	}
	j := &job{Request: q, entry: n, outcome: t, release: release}
	n.place(j)
}

// place tries servers until one accepts the job.
func (n *entry) place(j *job) {
	f := n.fleet
	task := router.Job{
		Kind: wire.Kind_KIND_MODEL, Model: model, Prompt: j.Prompt, Answer: j.Answer, Chain: j.Chain,
		Deadline: start.Add(j.Arrival + j.Timeout),
	}
	for try := range maxAttempts {
		pick := n.chooser.Choose
		if try > 0 {
			pick = n.chooser.Pick
		}
		choice, err := pick(task, n.servers, f.clock())
		if err != nil {
			break
		}
		n.chooser.RecordPlacement(choice, f.clock())
		e := f.byID[choice.Server.GetServer()]
		j.choice, j.engine = choice, e
		taken := e.admit(j, f.now)
		n.piggyback(e)
		if taken {
			f.reportEarly(j)
			f.result.recordBestCached(j, f)
			f.schedule(j.Timeout, func() { f.expire(j) })
			f.runEngine(e)
			return
		}
		n.chooser.RecordEnd(choice)
		task.Excluded = append(task.Excluded, identifier.Server(e.id))
	}
	j.release(false, f.clock())
	j.outcome.refused = true
}

// expire cancels a job at its deadline.
func (f *fleet) expire(j *job) {
	if j.ended {
		return
	}
	j.engine.release(j)
	j.engine.wastedPrefill += j.prefilled
	if j.outcome.firstToken > 0 {
		j.entry.chooser.RecordLastToken(j.choice, f.now-j.Arrival-j.outcome.firstToken)
	}
	j.entry.chooser.RecordEnd(j.choice)
	j.release(false, f.clock())
}

// recordFirstToken records the time of a job's first token.
func (n *entry) recordFirstToken(j *job) {
	j.outcome.firstToken = n.fleet.now - j.Arrival
	n.chooser.RecordFirstToken(j.choice, j.Prompt, j.outcome.firstToken)
}

// recordLastToken records the end of a job.
func (n *entry) recordLastToken(j *job) {
	j.outcome.lastToken = n.fleet.now - j.Arrival
	n.chooser.RecordLastToken(j.choice, j.outcome.lastToken-j.outcome.firstToken)
	n.chooser.RecordEnd(j.choice)
	j.release(true, n.fleet.clock())
	n.piggyback(j.engine)
}

// runEngine starts the steps of an idle engine.
func (f *fleet) runEngine(e *engine) {
	if e.stepping {
		return
	}
	s := e.planStep()
	if s == nil {
		return
	}
	e.stepping = true
	f.schedule(s.duration, func() {
		e.stepping = false
		e.finishStep(s)
		f.runEngine(e)
	})
}
