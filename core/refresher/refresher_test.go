package refresher_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"bamboohill/core/follower"
	"bamboohill/core/refresher"

	"github.com/matryer/is"
)

// Times of the simulation, for servers that serve for drain after they said that they
// leave.
const (
	drain        = 3 * time.Second
	short        = drain * 45 / 100
	interval     = drain * 30 / 100
	timeout      = drain * 30 / 100
	heartbeat    = 250 * time.Millisecond // between two messages of an entry
	roundTrip    = 5 * time.Millisecond
	nudgeDelay   = 200 * time.Millisecond
	checkEvery   = 250 * time.Millisecond
	backoff      = 150 * time.Millisecond
	step         = 5 * time.Millisecond
	messageTime  = 5 * time.Millisecond
	changeEvery  = 2 * time.Second
	simulatedFor = time.Minute
)

// fault is what happens to entries in the middle of the simulation, for a time.
type fault struct {
	from, to time.Duration
	entries  func(i int) bool
	silent   bool // the calls of the entries that are in progress at from are never answered
	cut      bool // the entries send and receive no messages
	dead     bool // the entries are killed and start again at to
}

// TestChangesAreKnown simulates entries that follow a table, whose connections to the store
// go silent, whose messages are lost and which are killed. Every change must be known to
// every live entry before the server behind it may end.
func TestChangesAreKnown(t *testing.T) {
	all := func(int) bool { return true }
	few := func(i int) bool { return i < 3 }
	tests := map[string][]fault{
		"calm":                         nil,
		"one connection is silent":     {{from: 20 * time.Second, silent: true, entries: func(i int) bool { return i == 2 }}},
		"all connections are silent":   {{from: 20 * time.Second, silent: true, entries: all}, {from: 41 * time.Second, silent: true, entries: all}},
		"entries are killed":           {{from: 20 * time.Second, to: 23 * time.Second, dead: true, entries: few}},
		"all entries are killed":       {{from: 20 * time.Second, to: 21 * time.Second, dead: true, entries: all}},
		"entries are cut off":          {{from: 20 * time.Second, to: 30 * time.Second, cut: true, entries: few}},
		"cut off, and silent":          {{from: 20 * time.Second, to: 30 * time.Second, cut: true, entries: few}, {from: 22 * time.Second, silent: true, entries: few}},
		"all are cut off, and silent":  {{from: 20 * time.Second, to: 30 * time.Second, cut: true, entries: all}, {from: 22 * time.Second, silent: true, entries: all}},
		"killed, and others silent":    {{from: 20 * time.Second, to: 25 * time.Second, dead: true, entries: few}, {from: 20 * time.Second, silent: true, entries: all}},
		"silent one after the other":   {{from: 20 * time.Second, silent: true, entries: few}, {from: 20500 * time.Millisecond, silent: true, entries: all}},
		"silent at odd entries, twice": {{from: 20 * time.Second, silent: true, entries: func(i int) bool { return i%2 == 1 }}, {from: 21 * time.Second, silent: true, entries: all}},
	}
	for name, faults := range tests {
		for _, entries := range []int{1, 4, 8, 26} {
			t.Run(name+" "+strconv.Itoa(entries), func(t *testing.T) {
				t.Parallel()
				f := newFleet(entries, faults)
				f.run()
				t.Logf("latest change known after %v, %.1f calls a second", f.latest, float64(f.calls)/simulatedFor.Seconds())
				is.New(t).True(f.latest < drain)
			})
		}
	}
}

// TestCalls checks that many entries make fewer calls than if each asked by itself, and few
// entries no more.
func TestCalls(t *testing.T) {
	tests := map[int]float64{1: 1, 4: 1, 7: 1, 8: 1, 26: 0.5, 100: 0.35}
	for entries, most := range tests {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			f := newFleet(entries, nil)
			f.calm = true
			f.run()
			alone := float64(entries) * simulatedFor.Seconds() / (short + roundTrip).Seconds()
			t.Logf("%d calls, %.0f alone", f.calls, alone)
			is.New(t).True(float64(f.calls) <= 1.1*most*alone)
		})
	}
}

type fleet struct {
	now     time.Duration
	random  *rand.Rand
	entries []*entry
	faults  []fault
	version int64
	changed map[int64]time.Duration // when each version was written
	calls   int
	calm    bool          // nothing changes
	latest  time.Duration // the longest time until a change was known to an entry that ran
}

type entry struct {
	refresher          *refresher.Refresher
	started            time.Duration
	applied            int64
	began, answered    time.Duration // of the call in progress; answered is when the store answers it, 0 if it waits
	ends, next         time.Duration // when the call ends without an answer; when the next call begins, if none is in progress
	calling, lost      bool
	nudged             bool
	nudgeAt            time.Duration
	pause              time.Duration
	told, checked      time.Duration
	dead, cut, waiting bool
}

func clock(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func newFleet(entries int, faults []fault) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(3, uint64(entries))), faults: faults, changed: map[int64]time.Duration{}, version: 1}
	for i := range entries {
		f.entries = append(f.entries, &entry{})
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	e := f.entries[i]
	*e = entry{started: f.now, applied: 0, next: f.now + time.Duration(f.random.Int64N(int64(100*time.Millisecond)))}
	e.refresher = refresher.New(refresher.Config{Self: "entry " + strconv.Itoa(i), Short: short, Interval: interval, Limit: short})
}

func (f *fleet) run() {
	for next := changeEvery; f.now < simulatedFor; f.now += step {
		if f.now >= next && !f.calm && f.now < simulatedFor-drain {
			f.version++
			f.changed[f.version] = f.now
			next += time.Duration((0.5 + f.random.Float64()) * float64(changeEvery))
		}
		f.applyFaults()
		for i, e := range f.entries {
			if !e.dead {
				f.call(e)
				f.tell(i, e)
				f.check(e)
			}
		}
	}
}

func (f *fleet) applyFaults() {
	for _, fault := range f.faults {
		for i, e := range f.entries {
			if !fault.entries(i) {
				continue
			}
			if at := fault.from; f.now >= at && f.now < at+step {
				e.lost = e.lost || fault.silent && e.calling
				e.dead, e.cut = e.dead || fault.dead, e.cut || fault.cut
			}
			if at := fault.to; at > 0 && f.now >= at && f.now < at+step {
				e.cut = e.cut && !fault.cut
				if fault.dead {
					f.start(i)
				}
			}
		}
	}
}

// call advances the call of an entry.
func (f *fleet) call(e *entry) {
	switch {
	case !e.calling && f.now >= e.next:
		wait, pause := e.refresher.Pace(clock(f.now))
		if e.nudged || e.applied == 0 {
			wait = 0
		}
		e.waiting = !e.nudged
		e.calling, e.nudged, e.began, e.pause, e.answered = true, false, f.now, pause, 0
		e.ends = f.now + wait + timeout
		f.calls++
		if wait == 0 || e.applied < f.version {
			e.answered = f.now + roundTrip
		}
	case e.calling && !e.lost && e.answered == 0 && (e.applied < f.version || f.now >= e.ends-timeout):
		e.answered = f.now + roundTrip
	case e.calling && !e.lost && e.answered > 0 && f.now >= e.answered:
		for v := e.applied + 1; v <= f.version; v++ {
			if e.applied > 0 || f.changed[v] > e.started {
				f.latest = max(f.latest, f.now-f.changed[v])
			}
		}
		e.applied = f.version
		at := follower.Position{Era: 1, Version: f.version}
		e.refresher.RecordAnswer(at, at, clock(e.began))
		e.calling, e.next = false, max(f.now, e.began+e.pause)
	case e.calling && f.now >= e.ends:
		e.calling, e.lost, e.next = false, false, f.now+backoff
	}
}

// refresh ends a call that waits and makes the next one not wait.
func (f *fleet) refresh(e *entry) {
	e.nudged = true
	if e.calling && e.waiting {
		e.calling, e.lost, e.next = false, false, f.now
	}
}

// tell sends a message of an entry.
func (f *fleet) tell(i int, e *entry) {
	const loss = 0.02
	own, found := e.refresher.Own(clock(f.now))
	if !found || e.cut || f.now < e.told+heartbeat {
		return
	}
	e.told = f.now
	own.Age += messageTime
	for j, other := range f.entries {
		if i == j || other.dead || other.cut || f.random.Float64() < loss {
			continue
		}
		other.refresher.ApplyPeer("entry "+strconv.Itoa(i), own, clock(f.now))
		if own.Newest.Version > other.applied && other.applied > 0 && other.nudgeAt == 0 {
			other.nudgeAt = f.now + nudgeDelay
		}
	}
}

// check ends a waiting call after a nudge, or if the copy isn't confirmed.
func (f *fleet) check(e *entry) {
	if e.nudgeAt > 0 && f.now >= e.nudgeAt {
		e.nudgeAt = 0
		if e.applied < f.version {
			f.refresh(e)
		}
	}
	if f.now >= e.checked+checkEvery {
		e.checked = f.now
		if e.refresher.Overdue(clock(f.now)) {
			f.refresh(e)
		}
	}
}
