package keeper

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/wire"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestCanStart(t *testing.T) {
	for name, test := range map[string]struct {
		e    Evidence
		want bool
	}{
		"no reply":                       {Evidence{KnownPeers: 5}, false},
		"no known peer":                  {Evidence{}, false},
		"one of many":                    {Evidence{KnownPeers: 5, ReadyPeers: 1, HighestReply: 4}, false},
		"two of many":                    {Evidence{KnownPeers: 5, ReadyPeers: 2, HighestReply: 4}, false},
		"one of two":                     {Evidence{KnownPeers: 2, ReadyPeers: 1, HighestReply: 4}, false},
		"the only one known":             {Evidence{KnownPeers: 1, ReadyPeers: 1, HighestReply: 4}, true},
		"both":                           {Evidence{KnownPeers: 2, ReadyPeers: 2, HighestReply: 4}, true},
		"several":                        {Evidence{KnownPeers: 5, ReadyPeers: 3, HighestReply: 4}, true},
		"quorum, higher number observed": {Evidence{KnownPeers: 5, ReadyPeers: 3, HighestReply: 4, HighestObserved: 5}, false},
		"the only one known, higher number observed": {Evidence{KnownPeers: 1, ReadyPeers: 1, HighestReply: 4, HighestObserved: 5}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := CanStart(test.e); got != test.want {
				t.Errorf("CanStart(%+v) = %v, want %v", test.e, got, test.want)
			}
		})
	}
}

func TestFresh(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		bound int64
		age   time.Duration
		want  bool
	}{
		"no bound":       {0, time.Hour, true},
		"within":         {5000, 5 * time.Second, true},
		"past":           {5000, 5*time.Second + 1, false},
		"negative bound": {-1, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Fresh(&wire.Plan{StalenessMs: test.bound}, now.Add(-test.age), now); got != test.want {
				t.Errorf("Fresh = %v, want %v", got, test.want)
			}
		})
	}
}

// put commits one change of a failure domain through a table.
func put(t interface{ Fatal(...any) }, f *fakeTable, n int) *wire.Change {
	c, err := Commit(context.Background(), f, Proposal{
		ID: fmt.Sprint("c", n), Key: "domain/ikeja", Force: true, Record: domainOut("ikeja", n%2 == 0),
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTable()
		put(t, f, 1)
		all := map[string]*Keeper{}
		for _, name := range []string{"a", "b", "c"} {
			all[name] = New(Config{Table: f})
			defer all[name].Stop()
			is.NoErr(all[name].Refresh(t.Context()))
		}
		put(t, f, 2)
		is.NoErr(all["c"].Refresh(t.Context())) // a and b missed the last change
		f.setDown(true)

		replying := []string{"a"}
		k := New(Config{Table: f, Peers: &fakePeers{all: all, replying: func() []string { return replying }}})
		defer k.Stop()
		is.True(k.Refresh(t.Context()) != nil)
		is.True(!k.Ready()) // one peer of three is not enough
		replying = []string{"a", "b", "c"}
		is.NoErr(k.Refresh(t.Context()))
		is.True(k.Ready())
		is.Equal(k.State().Sequence, uint64(2)) // the highest of several

		alone := New(Config{Table: f})
		defer alone.Stop()
		is.True(alone.Refresh(t.Context()) != nil)
		is.True(!alone.Ready()) // neither store nor peers
	})
}

func TestCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTable()
		put(t, f, 1)
		peer := New(Config{Table: f})
		defer peer.Stop()
		k := New(Config{Table: f, Peers: &fakePeers{all: map[string]*Keeper{"p": peer}, replying: func() []string { return []string{"p"} }}})
		defer k.Stop()
		is.NoErr(k.Refresh(t.Context()))
		put(t, f, 2)
		is.NoErr(k.CatchUp(t.Context(), 2)) // from the store
		put(t, f, 3)
		is.NoErr(peer.Refresh(t.Context()))
		f.setDown(true)
		is.NoErr(k.CatchUp(t.Context(), 3)) // from the peer
		is.Equal(k.State().Sequence, uint64(3))
		var behind *BehindError
		is.True(errors.As(k.CatchUp(t.Context(), 4), &behind)) // no process has it
		is.Equal(behind.Want, uint64(4))
	})
}

func TestCatchUpAsksPreferredPeersFirst(t *testing.T) {
	is := is.New(t)
	f := newTable()
	peer := New(Config{Table: f})
	defer peer.Stop()
	k := New(Config{Table: f, Peers: &fakePeers{
		all: map[string]*Keeper{"p": peer}, replying: func() []string { t.Error("other peers than the preferred one were asked"); return nil },
	}})
	defer k.Stop()
	put(t, f, 1)
	is.NoErr(peer.Refresh(t.Context()))
	reads := f.reads
	is.NoErr(k.CatchUp(t.Context(), 1, "p"))
	is.Equal(f.reads, reads) // the store was not read
	is.True(!k.Ready())      // a single peer is not enough to start
}

func TestCatchUpDoesNotWaitForHungStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTable()
		peer := New(Config{Table: f})
		defer peer.Stop()
		k := New(Config{Table: f, Peers: &fakePeers{all: map[string]*Keeper{"p": peer}, replying: func() []string { return []string{"p"} }}})
		defer k.Stop()
		is.NoErr(k.Refresh(t.Context()))
		put(t, f, 1)
		is.NoErr(peer.Refresh(t.Context()))
		f.mu.Lock()
		f.delay = time.Hour
		f.mu.Unlock()
		go k.Refresh(t.Context())
		synctest.Wait()
		start := time.Now()
		is.NoErr(k.CatchUp(t.Context(), 1))
		is.True(time.Since(start) < time.Second)
		time.Sleep(3 * time.Hour)
	})
}

func TestCatchUpFillsGap(t *testing.T) {
	is := is.New(t)
	f := newTable()
	k := New(Config{Table: f})
	defer k.Stop()
	put(t, f, 1)
	put(t, f, 2)
	last := put(t, f, 3)
	var gap *GapError
	is.True(errors.As(k.ApplyBatch(t.Context(), &wire.Batch{Changes: []*wire.Change{last}}), &gap))
	is.Equal(k.State().Sequence, uint64(0)) // changes are not applied out of order
	is.NoErr(k.CatchUp(t.Context(), last.GetSequence()))
	is.Equal(k.State().Sequence, uint64(3))
	is.NoErr(k.ApplyBatch(t.Context(), &wire.Batch{Snapshot: &wire.Snapshot{Sequence: 2}}))
	is.Equal(k.State().Sequence, uint64(3)) // an older snapshot changes nothing
}

func TestConfirmationExpiresDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTable()
		k := New(Config{Table: f})
		defer k.Stop()
		ctx, cancel := context.WithCancel(t.Context())
		go k.Poll(ctx, time.Second, nil)
		time.Sleep(10 * time.Second)
		plan := &wire.Plan{StalenessMs: 5000}
		is.True(Fresh(plan, k.Confirmed(), time.Now()))
		f.setDown(true)
		time.Sleep(10 * time.Second)
		is.True(!Fresh(plan, k.Confirmed(), time.Now()))
		f.setDown(false)
		time.Sleep(2 * time.Second)
		is.True(Fresh(plan, k.Confirmed(), time.Now()))
		cancel()
		synctest.Wait()
	})
}

func TestSnapshotReplacesTheLog(t *testing.T) {
	is := is.New(t)
	f := newTable()
	k := New(Config{Table: f, Objects: fakeObjects{f}})
	defer k.Stop()
	const changes = retainedChanges + snapshotInterval + 30
	for n := 1; n <= changes; n++ {
		c, err := k.Commit(t.Context(), Proposal{
			ID: fmt.Sprint("c", n), Key: fmt.Sprint("domain/", n%7), Force: true, Record: domainOut(fmt.Sprint(n%7), n%2 == 0),
		})
		is.NoErr(err)
		is.NoErr(k.Archive(t.Context(), c.GetSequence()))
	}
	_, trimmed := f.rows[changeKey(snapshotInterval)]
	is.True(!trimmed) // the log before the snapshot is trimmed
	_, id := f.rows[idPrefix+"c1000"]
	is.True(!id) // with its change ids
	_, kept := f.rows[idPrefix+fmt.Sprint("c", changes-retainedChanges+100)]
	is.True(kept) // the newest ids are kept

	late := New(Config{Table: f, Objects: fakeObjects{f}})
	defer late.Stop()
	is.NoErr(late.Refresh(t.Context()))
	is.Equal(late.State().Sequence, uint64(changes))
	for n := range 7 {
		key := fmt.Sprint("domain/", n)
		is.Equal(late.State().Row(key).GetVersion(), k.State().Row(key).GetVersion())
	}
	before := f.reads
	again := New(Config{Table: f, Objects: fakeObjects{f}})
	defer again.Stop()
	is.NoErr(again.Refresh(t.Context()))
	is.True(f.reads-before <= 4) // head, snapshot and one page of the log
}

func TestLogIsNotTrimmedWithoutSnapshot(t *testing.T) {
	is := is.New(t)
	f := newTable()
	k := New(Config{Table: f, Objects: lostObjects{fakeObjects{f}}})
	defer k.Stop()
	for n := 1; n <= retainedChanges+snapshotInterval; n++ {
		c, err := k.Commit(t.Context(), Proposal{ID: fmt.Sprint("c", n), Key: "domain/a", Force: true, Record: domainOut("a", true)})
		is.NoErr(err)
		k.Archive(t.Context(), c.GetSequence())
	}
	late := New(Config{Table: f})
	defer late.Stop()
	is.NoErr(late.Refresh(t.Context()))
	is.Equal(late.State().Sequence, uint64(retainedChanges+snapshotInterval))
}

// lostObjects acknowledges writes without storing them.
type lostObjects struct{ fakeObjects }

func (lostObjects) Put(context.Context, string, []byte) error { return nil }

func TestKeyOfTwoAccounts(t *testing.T) {
	is := is.New(t)
	hash := make([]byte, 32)
	account := func(name string, keys ...[]byte) *wire.Record {
		return &wire.Record{Value: &wire.Record_Account{Account: &wire.Account{Name: name, Keys: keys}}}
	}
	s, err := Empty().Apply([]*wire.Change{
		{Sequence: 1, Key: "account/a", Version: 1, Record: account("a", hash)},
		{Sequence: 2, Key: "account/b", Version: 1, Record: account("b", hash)},
		{Sequence: 3, Key: "account/a", Version: 2, Record: account("a")},
	})
	is.NoErr(err)
	is.Equal(s.Owner(hash), "b") // only a removed the key
}

// cluster drives keepers through changes, lost pushes, outages and restarts.
type cluster struct {
	f        *fakeTable
	all      map[string]*Keeper
	names    []string
	isolated map[string]bool // misses pushes and can't read the store
	next     int
}

func (g *cluster) start(t *rapid.T, name string, quorum int) {
	old := g.all[name]
	others := map[string]*Keeper{}
	var replying []string
	for _, n := range g.names {
		if n != name {
			others[n] = g.all[n]
			replying = append(replying, n)
		}
	}
	replying = rapid.Permutation(replying).Draw(t, "replying")[:quorum]
	k := New(Config{Table: g.f, Peers: &fakePeers{all: others, replying: func() []string { return replying }}})
	if quorum == 1 {
		k.started.Store(true) // faulty variant: any single reply is enough
	}
	k.Refresh(context.Background())
	old.Stop()
	g.all[name] = k
}

// restartsNeverRevert runs a cluster in which fewer than PeerQuorum entries are
// isolated at a time. A process that starts during an outage must have every
// change that was accepted before.
func restartsNeverRevert(quorum int) func(*rapid.T) {
	return func(t *rapid.T) {
		g := &cluster{f: newTable(), all: map[string]*Keeper{}, names: []string{"a", "b", "c", "d", "e"}, isolated: map[string]bool{}}
		for _, n := range g.names {
			g.all[n] = New(Config{Table: g.f})
			g.all[n].Refresh(context.Background())
		}
		defer func() {
			for _, k := range g.all {
				k.Stop()
			}
		}()
		t.Repeat(map[string]func(*rapid.T){
			"change": g.change,
			"cut":    g.isolate,
			"heal":   g.reconnect,
			"outage": func(t *rapid.T) { g.f.setDown(rapid.Bool().Draw(t, "down")) },
			"restart": func(t *rapid.T) {
				n := rapid.SampledFrom(g.names).Draw(t, "name")
				g.start(t, n, quorum)
				delete(g.isolated, n)
				if k := g.all[n]; k.Ready() && k.State().Sequence < uint64(g.next) {
					t.Fatalf("%s started at %d, accepted %d", n, k.State().Sequence, g.next)
				}
			},
		})
	}
}

func (g *cluster) change(t *rapid.T) {
	if g.f.down {
		t.Skip("store is down")
	}
	g.next++
	put(t, g.f, g.next)
	for _, n := range g.names {
		if !g.isolated[n] {
			g.all[n].Refresh(context.Background())
		}
	}
}

func (g *cluster) isolate(t *rapid.T) {
	n := rapid.SampledFrom(g.names).Draw(t, "name")
	if g.f.down || len(g.isolated) >= PeerQuorum-1 && !g.isolated[n] {
		t.Skip("the largest allowed number of entries is isolated")
	}
	g.isolated[n] = true
}

func (g *cluster) reconnect(t *rapid.T) {
	n := rapid.SampledFrom(g.names).Draw(t, "name")
	if !g.f.down && g.isolated[n] {
		delete(g.isolated, n)
		g.all[n].Refresh(context.Background())
	}
}

func TestRestartsNeverRevert(t *testing.T) {
	rapid.Check(t, restartsNeverRevert(PeerQuorum))
}

// TestRestartCheckDetectsSinglePeerStart shows that restartsNeverRevert detects
// the fault it guards against: a process that starts from the first peer that
// replies loses an accepted change.
func TestRestartCheckDetectsSinglePeerStart(t *testing.T) {
	if !rejected(t, restartsNeverRevert(1)) {
		t.Fatal("no start from a single peer was found to revert a change")
	}
}
