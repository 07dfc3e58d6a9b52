package detector

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Limits on the broken sends that are held.
const (
	retention     = 30 * time.Second // without evidence, as while the list of servers is not renewed
	refusalWindow = 2 * time.Second  // a crashed server is down for some seconds; one that refuses later may have been shut down
	maxBroken     = 4096             // broken sends; beyond it the oldest is dropped
)

// Times after a break from which a sign of life shows that the server was alive at
// the break. Earlier ones may have been under way when it crashed.
const (
	answerTransit       = 500 * time.Millisecond
	registrationTransit = 2 * time.Second // two reads of the list of servers, and a slow store
)

// endedSilence is the time without an answer, before a caller left or the time was
// up, from which the server may have crashed before that.
const endedSilence = 200 * time.Millisecond

// aliveSilence is the time without a sign of life after which a running send counts
// as silent.
const aliveSilence = time.Second

// probeInterval is the shortest time between two probes of a server.
const probeInterval = 500 * time.Millisecond

// Run is one run of a backend server.
type Run struct {
	Server      viewer.ServerID
	StartMillis int64 // start time of the server, in Unix milliseconds
}

// RunOf returns the run of a backend server that is on the list.
func RunOf(s *viewer.Server) Run { return Run{Server: s.ID, StartMillis: s.StartMillis} }

// Break is a send to backend servers that ended without a complete answer. Its
// cause may be a crash of any of them, even if the caller or this entry ended it.
type Break struct {
	Attempt     string // id of the request
	Fingerprint string
	Parts       []string // of its prompt
	Runs        []Run    // of the server that the request was sent to, then of its helpers
	At          time.Time
	Trial       bool // it was a trial of a blocked request
	Ended       bool // the caller left or the time was up; the connection did not break
}

// Running is a send that is under way.
type Running struct {
	Attempt     string
	Fingerprint func() string
	Parts       []string
	Runs        []Run
	Trial       bool

	refused  map[viewer.ServerID]time.Time // when a server last refused a connection
	sequence uint64                        // number of the send
}

// Evidence is the reason of a verdict.
type Evidence string

// Values of Evidence. The first three confirm a crash.
const (
	Refused     Evidence = "refused a connection"
	Expired     Evidence = "registration expired"
	Restarted   Evidence = "restarted"
	Alive       Evidence = "alive after the break"
	Unconfirmed Evidence = "no evidence within the retention"
	Overflow    Evidence = "too many broken sends"
)

// Verdict is the result of examining a break.
type Verdict struct {
	Break
	Evidence Evidence
	Crashed  Run           // the run that crashed, if Evidence confirms a crash
	Age      time.Duration // since the break
}

// Confirmed reports whether a backend server has crashed under the request.
func (v Verdict) Confirmed() bool { return v.Crashed.Server != "" }

// Observations are what an entry knows of the backend servers.
type Observations struct {
	Servers       map[viewer.ServerID]*viewer.Server
	AnsweredSince func(viewer.ServerID, time.Time) bool // whether it sent any part of an answer after a time
}

// pending is a break without a verdict.
type pending struct {
	Break
	refused map[viewer.ServerID]bool // servers that refused a connection within refusalWindow
}

// Detector holds the broken sends of one entry. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	pending []pending // oldest first
	dropped []Break   // because of maxBroken, not yet reported
	probed  map[viewer.ServerID]time.Time
	running map[*Running]bool
	started uint64 // number of sends that have begun
}

// New returns a Detector without broken sends.
func New() *Detector {
	return &Detector{probed: map[viewer.ServerID]time.Time{}, running: map[*Running]bool{}}
}

// RecordStart records that a send begins.
func (d *Detector) RecordStart(r *Running) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	r.refused, r.sequence = map[viewer.ServerID]time.Time{}, d.started
	d.running[r] = true
}

// RecordEnd records that a send has ended, and reports whether a crash under it was
// not reported before. RecordBreak should be called only then.
func (d *Detector) RecordEnd(r *Running) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	unreported := d.running[r]
	delete(d.running, r)
	return unreported
}

// RecordBreak records that a send broke off.
func (d *Detector) RecordBreak(b Break) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) >= maxBroken {
		d.dropped = append(d.dropped, d.pending[0].Break)
		d.pending = slices.Delete(d.pending, 0, 1)
	}
	d.pending = append(d.pending, pending{Break: b, refused: map[viewer.ServerID]bool{}})
}

// RecordRefused records that a backend server refused a connection.
func (d *Detector) RecordRefused(server viewer.ServerID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.pending {
		if now.Sub(b.At) <= refusalWindow {
			b.refused[server] = true
		}
	}
	for r := range d.running {
		r.refused[server] = now
	}
}

// BeginProbe reports whether a server should be probed for a refused connection
// now, and records that it is.
func (d *Detector) BeginProbe(server viewer.ServerID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.probed[server]) < probeInterval {
		return false
	}
	d.probed[server] = now
	return true
}

// Examine returns a verdict on each break that has one, and forgets these breaks. It
// also returns a verdict on each send that is under way at a server that has crashed,
// since a connection to a server that is gone may stay open until the caller leaves.
func (d *Detector) Examine(o Observations, now time.Time) []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	for server, at := range d.probed {
		if now.Sub(at) >= probeInterval {
			delete(d.probed, server)
		}
	}
	var verdicts []Verdict
	for _, b := range d.dropped {
		verdicts = append(verdicts, Verdict{Break: b, Evidence: Overflow, Age: now.Sub(b.At)})
	}
	d.dropped = nil
	inOrder := func(a, b *Running) int { return cmp.Compare(a.sequence, b.sequence) }
	for _, r := range slices.SortedFunc(maps.Keys(d.running), inOrder) {
		if v, crashed := r.examine(o, now); crashed {
			verdicts = append(verdicts, v)
			delete(d.running, r)
		}
	}
	d.pending = slices.DeleteFunc(d.pending, func(b pending) bool {
		v := b.examine(o, now)
		if v.Evidence != "" {
			verdicts = append(verdicts, v)
		}
		return v.Evidence != ""
	})
	return verdicts
}

// examine returns a verdict if a server has crashed under a running send: it is
// silent, and refuses connections or is off the list.
func (r *Running) examine(o Observations, now time.Time) (Verdict, bool) {
	for _, run := range r.Runs {
		listed, found := o.Servers[run.Server]
		evidence := Evidence("")
		switch {
		case o.AnsweredSince(run.Server, now.Add(-aliveSilence)):
		case now.Sub(r.refused[run.Server]) <= refusalWindow:
			evidence = Refused
		case !found:
			evidence = Expired
		case listed.StartMillis != run.StartMillis:
			evidence = Restarted
		}
		if evidence != "" {
			b := Break{Attempt: r.Attempt, Fingerprint: r.Fingerprint(), Parts: r.Parts, Runs: r.Runs, At: now, Trial: r.Trial}
			return Verdict{Break: b, Evidence: evidence, Crashed: run}, true
		}
	}
	return Verdict{}, false
}

// examine returns the verdict on a break. Its Evidence is "" while there is none.
func (b pending) examine(o Observations, now time.Time) Verdict {
	v := Verdict{Break: b.Break, Age: now.Sub(b.At)}
	alive := 0
	for _, r := range b.Runs {
		switch evidence := b.examineRun(r, o); evidence {
		case "":
		case Alive:
			alive++
		default:
			v.Evidence, v.Crashed = evidence, r
			return v
		}
	}
	switch {
	case alive == len(b.Runs):
		v.Evidence = Alive
	case v.Age > retention:
		v.Evidence = Unconfirmed
	}
	return v
}

// examineRun returns the evidence on one run of a server, or "" while there is
// none.
func (b pending) examineRun(r Run, o Observations) Evidence {
	listed, found := o.Servers[r.Server]
	switch {
	case o.AnsweredSince(r.Server, b.At.Add(answerTransit)):
		return Alive
	case b.Ended && o.AnsweredSince(r.Server, b.At.Add(-endedSilence)):
		return Alive
	case b.refused[r.Server]:
		return Refused
	case !found:
		return Expired
	case listed.StartMillis != r.StartMillis:
		return Restarted
	case listed.Observed.After(b.At.Add(registrationTransit)):
		return Alive
	}
	return ""
}
