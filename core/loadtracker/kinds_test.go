package loadtracker_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"bamboohill/core/loadtracker"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// tell passes the report of one tracker to another.
func tell(from, to *loadtracker.Tracker, name string, now time.Time) {
	r, loads := from.Report(now)
	r.Loads = map[uint32]loadtracker.Load{}
	for id, l := range loads {
		r.Loads[loadtracker.Hash(id)] = l
	}
	to.ApplyPeerReport(name, r, now)
}

// TestKindVanishes checks that requests are counted as the nearest kind when theirs is no
// longer in the configuration, and as theirs when it is back.
func TestKindVanishes(t *testing.T) {
	is := is.New(t)
	a, b := newTracker(), newTracker()
	a.RecordPlacement("1", loadtracker.Work{Server: "1", Kind: medium}, start)
	a.RecordPlacement("2", loadtracker.Work{Server: "1", Kind: long}, start)
	a.RecordFirstEvent("2", start)
	tell(a, b, "a", start)
	for _, tracker := range []*loadtracker.Tracker{a, b} {
		is.Equal(tracker.Load("1", start).Prefilling, loadtracker.Counts{1: 1})
		is.Equal(tracker.Load("1", start).Decoding, loadtracker.Counts{2: 1})
		tracker.Configure(configuration(short, long))
		is.Equal(tracker.Load("1", start).Prefilling, loadtracker.Counts{1: 1}) // as long
		is.Equal(tracker.Load("1", start).Decoding, loadtracker.Counts{1: 1})
		tracker.Configure(configuration(short, long, medium))
		is.Equal(tracker.Load("1", start).Prefilling, loadtracker.Counts{1: 1})
		is.Equal(tracker.Load("1", start).Decoding, loadtracker.Counts{2: 1})
	}
	a.Configure(configuration(short))
	a.RecordEnd("1", start)
	a.RecordEnd("2", start)
	is.Equal(a.Load("1", start), loadtracker.Load{})
}

// fleet is a number of entries that tell each other their loads.
type fleet struct {
	entries []*loadtracker.Tracker
	current []*profiler.Kinds // of each entry's configuration
	placed  map[string]profiler.Kind
	owner   map[string]int // entry that placed it
}

func newFleet(n int, kinds []profiler.Kind) *fleet {
	f := &fleet{entries: make([]*loadtracker.Tracker, n), current: make([]*profiler.Kinds, n), placed: map[string]profiler.Kind{}, owner: map[string]int{}}
	for i := range f.entries {
		f.entries[i] = loadtracker.New()
		f.configure(i, kinds)
	}
	return f
}

func (f *fleet) configure(i int, kinds []profiler.Kind) {
	f.current[i] = profiler.NewKinds(configuration(kinds...))
	f.entries[i].Configure(configuration(kinds...))
}

// toggle ends an attempt that runs, or places it at an entry as one of its kinds.
func (f *fleet) toggle(name string, entry, kind int, now time.Time) {
	if _, found := f.placed[name]; found {
		f.entries[f.owner[name]].RecordEnd(name, now)
		delete(f.placed, name)
		return
	}
	f.placed[name], f.owner[name] = f.current[entry].At(kind%f.current[entry].Len()), entry
	f.entries[entry].RecordPlacement(name, loadtracker.Work{Server: "s", Kind: f.placed[name]}, now)
}

func (f *fleet) exchange(now time.Time) {
	for from := range f.entries {
		for to := range f.entries {
			if from != to {
				tell(f.entries[from], f.entries[to], strconv.Itoa(from), now)
			}
		}
	}
}

// want returns the counts that an entry should have: of each request as the nearest own
// kind to that as which its owner counts it.
func (f *fleet) want(entry int) loadtracker.Counts {
	var c loadtracker.Counts
	for name, k := range f.placed {
		owner := f.current[f.owner[name]]
		c[f.current[entry].Index(owner.At(owner.Index(k)))]++
	}
	return c
}

// TestRollingChange changes the kinds of three entries one after the other in the middle of
// a burst: at any time each entry counts every request of all entries once, as the kind of
// its own configuration that is nearest to the limits of the request.
func TestRollingChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawKinds := func() []profiler.Kind {
			all := make([]profiler.Kind, rapid.IntRange(1, 6).Draw(t, "kinds"))
			for i := range all {
				all[i] = kindOf(time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause")), time.Duration(rapid.IntRange(100, 9000).Draw(t, "target")))
			}
			return all
		}
		const entries, interval = 3, 10
		f, after := newFleet(entries, drawKinds()), drawKinds()
		now := start
		for step := range (entries + 1) * interval {
			now = now.Add(5 * time.Millisecond)
			if i := step/interval - 1; i >= 0 && step%interval == 0 {
				f.configure(i, after)
			}
			name := strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "attempt"))
			f.toggle(name, rapid.IntRange(0, entries-1).Draw(t, "entry"), rapid.IntRange(0, 5).Draw(t, "kind"), now)
			f.exchange(now)
			for i, e := range f.entries {
				if l := e.Load("s", now); l.Prefilling != f.want(i) || l.Running != len(f.placed) {
					t.Fatalf("step %d, entry %d: %v of %d running, want %v of %d", step, i, l.Prefilling, l.Running, f.want(i), len(f.placed))
				}
			}
		}
	})
}

// TestOlderConfiguration checks that an older configuration does not replace the last one,
// unless the store has begun a new era.
func TestOlderConfiguration(t *testing.T) {
	is := is.New(t)
	older, last, again := configuration(short), configuration(short, medium), configuration(short)
	older.Revision, last.Revision = 6, 7
	again.Era, again.Revision = 1, 2
	tracker := loadtracker.New()
	tracker.Configure(last)
	tracker.Configure(older)
	is.Equal(tracker.Kinds().Len(), 2)
	tracker.Configure(again)
	is.Equal(tracker.Kinds().Len(), 1)
}

// TestRestart checks that an entry that has just started knows the kinds from others.
func TestRestart(t *testing.T) {
	is := is.New(t)
	a, b := newTracker(), newTracker()
	now := start
	for i := range 60 {
		now = now.Add(20 * time.Millisecond)
		name := strconv.Itoa(i)
		a.RecordPlacement(name, loadtracker.Work{Server: "1", Kind: short, Prompt: 5_000}, now)
		a.RecordEnd(name, now.Add(2*time.Second))
	}
	tell(a, b, "a", now)
	p, own := b.Parameters("pool", 14, now), a.Parameters("pool", 14, now)
	is.True(math.Abs(p.Kinds[0].Value-1.5) < 0.1)
	is.True(math.Abs(own.Kinds[0].Value-p.Kinds[0].Value) < 0.01)
	is.Equal(newTracker().Parameters("pool", 14, now).Kinds[0].Value, 2.3) // by the usual size
}

// TestConfigureIsCheap checks that setting a configuration with as many routes as operators
// add at once, again and again, costs a request next to nothing.
func TestConfigureIsCheap(t *testing.T) {
	is := is.New(t)
	var all []profiler.Kind
	for i := range 1400 {
		all = append(all, kindOf(time.Duration(200+i), time.Duration(300+i)))
	}
	c := configuration(all...)
	tracker := loadtracker.New()
	tracker.Configure(c)
	is.Equal(testing.AllocsPerRun(1000, func() { tracker.Configure(c) }), 0.0)
}

// BenchmarkLoad reads the loads of 60 engines at which 25 entries have work.
func BenchmarkLoad(b *testing.B) {
	t := newTracker()
	loads := map[uint32]loadtracker.Load{}
	var ids []viewer.ServerID
	for i := range 60 {
		ids = append(ids, viewer.ServerID(strconv.Itoa(i)))
		loads[loadtracker.Hash(ids[i])] = loadtracker.Load{Running: 2, Decoding: loadtracker.Counts{1, 1}}
	}
	for i := range 25 {
		t.ApplyPeerReport(strconv.Itoa(i), loadtracker.Report{Loads: loads}, start)
	}
	for b.Loop() {
		for _, id := range ids {
			t.Load(id, start)
		}
	}
}
