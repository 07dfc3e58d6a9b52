package gossiper

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/keeper"
	"bamboohill/core/puller"
	"bamboohill/core/ranker"
	"bamboohill/core/storer"
	"bamboohill/core/watcher"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// entriesPerSidecar is the number of entries that receive the heartbeats of one
// sidecar.
const entriesPerSidecar = 4

// fleet is a set of entries and sidecars in one process.
type fleet struct {
	net      *network
	table    *memoryTable
	entries  []*entry
	sidecars []*sidecar
	stops    []func()

	mu        sync.Mutex
	last      map[string]uint64 // last active sequence number of each process
	decreases []string          // changes to a lower or equal sequence number
}

// changed records that another configuration has become active at a process.
func (f *fleet) changed(name string, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sequence <= f.last[name] {
		f.decreases = append(f.decreases, fmt.Sprintf("%s from %d to %d", name, f.last[name], sequence))
	}
	f.last[name] = sequence
}

type entry struct {
	address string
	keeper  *keeper.Keeper
	watcher *watcher.Watcher
	gossip  *Gossiper
}

// sidecar is the part of a sidecar that receives and reports changes.
type sidecar struct {
	wire.Gate
	name    string
	address string
	serial  uint64
	keeper  *keeper.Keeper
}

func (s *sidecar) Push(ctx context.Context, batch *wire.Batch) (*wire.PushReply, error) {
	if err := s.keeper.ApplyBatch(ctx, batch); err != nil || s.keeper.Observe(batch.GetSequence()) {
		s.keeper.CatchUp(ctx, batch.GetSequence())
	}
	return &wire.PushReply{Sequence: s.keeper.State().Sequence}, nil
}

func (s *sidecar) Inspect(context.Context, *wire.InspectRequest) (*wire.Report, error) {
	s.serial++
	return &wire.Report{
		Server: s.name, Address: s.address, Domain: "ikeja", Boot: 1, Serial: s.serial, Sequence: s.keeper.State().Sequence,
	}, nil
}

func newFleet(entries, sidecars, pushers int) *fleet {
	f := &fleet{last: map[string]uint64{}, net: newNetwork(), table: &memoryTable{rows: map[string]storer.Row{}}}
	var addresses []string
	for i := range entries {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
	}
	for i, a := range addresses {
		e := &entry{address: a, watcher: watcher.New(watcher.Config{ForgetAfter: time.Hour, SilenceTimeout: time.Hour})}
		peer := f.net.peer()
		e.keeper = keeper.New(keeper.Config{
			Table: f.table, Changed: func(state *keeper.State) { f.changed(a, state.Sequence); e.gossip.TriggerPush() },
			Peers: puller.New(puller.Config{Addresses: func() []string { return e.gossip.Known() }, Self: a, Peer: peer}),
		})
		e.gossip = New(Config{
			Address: a, Boot: uint64(i + 1), Seeds: addresses, Keeper: e.keeper, Watcher: e.watcher, Entries: peer, Sidecars: peer,
			PushersPerSidecar: pushers, CallTimeout: 5 * time.Second,
		})
		mux := http.NewServeMux()
		mux.Handle(wire.PeersPathPrefix, e.gossip.Handler())
		f.entries = append(f.entries, e)
		f.stops = append(f.stops, f.net.serve(a, mux), e.keeper.Stop, e.watcher.Stop)
	}
	for i := range sidecars {
		f.add(fmt.Sprint("s", i), fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), addresses)
	}
	return f
}

// add starts a sidecar and reports it to its entries.
func (f *fleet) add(name, address string, entries []string) {
	peer := f.net.peer()
	s := &sidecar{name: name, address: address}
	s.keeper = keeper.New(keeper.Config{
		Table: f.table, Changed: func(state *keeper.State) { f.changed(name, state.Sequence) },
		Peers: puller.New(puller.Config{Addresses: func() []string { return entries }, Peer: peer}),
	})
	mux := http.NewServeMux()
	mux.Handle(wire.GatePathPrefix, wire.NewGateServer(s))
	f.sidecars = append(f.sidecars, s)
	f.stops = append(f.stops, f.net.serve(address, mux), s.keeper.Stop)
	ranked := ranker.Top(name, entries, entriesPerSidecar)
	for _, e := range f.entries {
		if slices.Contains(ranked, e.address) {
			report, _ := s.Inspect(context.Background(), nil)
			e.watcher.Record(report)
		}
	}
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
}

// start has every process read the store, makes all entries known to each other,
// and starts their push loops.
func (f *fleet) start(ctx context.Context) {
	now := time.Now()
	for _, e := range f.entries {
		e.keeper.Refresh(ctx)
		for _, other := range f.entries {
			e.gossip.roster.record(&wire.Member{Address: other.address, Boot: 1}, now, now)
		}
		go e.gossip.pushLoop(ctx)
	}
	for _, s := range f.sidecars {
		s.keeper.Refresh(ctx)
	}
}

// running starts a fleet. The returned function stops it and waits on the fake
// clock until all running calls have ended.
func (f *fleet) running(t *testing.T) (context.Context, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f.start(ctx)
	return ctx, func() {
		cancel()
		f.stop()
		time.Sleep(time.Minute)
	}
}

// behind returns how many processes do not have a sequence number active yet.
func (f *fleet) behind(sequence uint64) int {
	n := 0
	for _, e := range f.entries {
		if e.keeper.State().Sequence < sequence {
			n++
		}
	}
	for _, s := range f.sidecars {
		if s.keeper.State().Sequence < sequence {
			n++
		}
	}
	return n
}

// change commits a change of a failure domain through an entry and pushes it.
func (f *fleet) change(ctx context.Context, n int, e *entry) uint64 {
	place := &wire.Placement{Name: "ikeja", Out: n%2 == 0, Reason: "power work"}
	return f.commit(ctx, n, e, "domain/ikeja", &wire.Record{Value: &wire.Record_Domain{Domain: place}})
}

func (f *fleet) commit(ctx context.Context, n int, e *entry, key string, record *wire.Record) uint64 {
	c, err := e.keeper.Commit(ctx, keeper.Proposal{ID: fmt.Sprint("c", n), Author: "ana", Key: key, Force: true, Record: record})
	if err != nil {
		panic(err)
	}
	e.gossip.PushEntries(ctx)
	return c.GetSequence()
}

// TestLargeClusterDefersPushes commits a series of plans in a large cluster.
// Sidecars must get the first plan at once, the second after deferInterval, and
// a change of a failure domain, which is urgent, at once.
func TestLargeClusterDefersPushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(largeCluster+2, 8, 0)
		ctx, end := f.running(t)
		defer end()
		synctest.Wait()
		plan := &wire.Record{Value: &wire.Record_Plan{Plan: &wire.Plan{Name: "crew"}}}
		sequence := f.commit(ctx, 1, f.entries[0], "plan/crew", plan)
		synctest.Wait()
		is.Equal(f.behind(sequence), 0)
		sequence = f.commit(ctx, 2, f.entries[0], "plan/crew", plan)
		synctest.Wait()
		is.Equal(f.behind(sequence), 8) // active at the entries, deferred at the sidecars
		time.Sleep(deferInterval + time.Second)
		synctest.Wait()
		is.Equal(f.behind(sequence), 0)
		f.commit(ctx, 3, f.entries[0], "plan/crew", plan)
		sequence = f.change(ctx, 4, f.entries[0])
		synctest.Wait()
		is.Equal(f.behind(sequence), 0) // urgent
	})
}

func TestChangeReachesAll(t *testing.T) {
	for name, pushers := range map[string]int{"by all entries": 0, "by one": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(6, 17, pushers)
				ctx, end := f.running(t)
				defer end()
				synctest.Wait()
				for n := range 3 {
					sequence := f.change(ctx, n, f.entries[n])
					synctest.Wait()
					is.Equal(f.behind(sequence), 0)
				}
				entries, sidecars := f.entries[5].gossip.Survey(ctx)
				is.Equal(len(entries), 6)
				is.Equal(len(sidecars), 17)
				for _, s := range slices.Concat(entries, sidecars) {
					is.Equal(s.Sequence, uint64(3))
				}
			})
		})
	}
}

// TestLeavingSidecarIsNotBehind commits a change after a sidecar has reported
// that it is leaving and has stopped. A survey must not include the sidecar, as
// it accepts no work.
func TestLeavingSidecarIsNotBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 3, 0)
		ctx, end := f.running(t)
		defer end()
		synctest.Wait()
		leaving := f.sidecars[0]
		report, err := leaving.Inspect(ctx, nil)
		is.NoErr(err)
		report.State = wire.State_STATE_LEAVING
		for _, e := range f.entries {
			e.watcher.Record(report)
		}
		f.net.setCut(leaving.address, true)
		f.change(ctx, 1, f.entries[0])
		synctest.Wait()
		_, sidecars := f.entries[1].gossip.Survey(ctx)
		is.Equal(len(sidecars), 2)
		for _, s := range sidecars {
			is.True(s.Name != leaving.name)
			is.Equal(s.Sequence, uint64(1))
		}
	})
}

func TestCutEntryCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 6, 0)
		ctx, end := f.running(t)
		defer end()
		synctest.Wait()
		partitioned := f.entries[3]
		f.net.setCut(partitioned.address, true)
		f.change(ctx, 1, f.entries[0])
		f.change(ctx, 2, f.entries[0])
		synctest.Wait()
		is.Equal(partitioned.keeper.State().Sequence, uint64(0))
		is.Equal(f.behind(2), 1) // its sidecars got them from other entries
		_, sidecars := partitioned.gossip.Survey(ctx)
		is.Equal(len(sidecars), 6)
		entries, _ := f.entries[0].gossip.Survey(ctx)
		unreachable := 0
		for _, s := range entries {
			if s.Unreachable {
				unreachable++
				is.Equal(s.Name, partitioned.address)
			}
		}
		is.Equal(unreachable, 1) // the survey includes it

		f.net.setCut(partitioned.address, false)
		f.table.setDown(true)
		for range 3 {
			partitioned.gossip.Round(ctx)
			time.Sleep(time.Second)
		}
		synctest.Wait()
		is.Equal(partitioned.keeper.State().Sequence, uint64(2)) // from its peers, as the store is down
	})
}

// TestHungEntriesDelayPushLittle pushes a change while more entries hang than are
// called at once, as when a failure domain fails.
func TestHungEntriesDelayPushLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(maxConcurrentCalls+36, 0, 0)
		ctx, end := f.running(t)
		defer end()
		synctest.Wait()
		hung := f.entries[1 : maxConcurrentCalls+21]
		for _, e := range hung {
			f.net.setHung(e.address)
		}
		start := time.Now()
		sequence := f.change(ctx, 1, f.entries[0])
		is.Equal(f.behind(sequence), len(hung))
		is.True(time.Since(start) <= 2*f.entries[0].gossip.config.CallTimeout)
	})
}

// TestLostHeartbeats loses the heartbeats of two servers. One of them still
// answers when it is inspected and must stay available.
func TestLostHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4, 0)
		w := watcher.New(watcher.Config{})
		defer w.Stop()
		g := New(Config{Address: "10.0.0.0:1", Boot: 1, Keeper: f.entries[0].keeper, Watcher: w, Sidecars: f.net.peer()})
		record := func(from int) {
			for _, s := range f.sidecars[from:] {
				report, _ := s.Inspect(t.Context(), nil)
				w.Record(report)
			}
		}
		record(0)
		f.net.setCut(f.sidecars[0].address, true)
		for range 10 {
			time.Sleep(time.Second)
			record(2)
			w.RecordFailure("s1") // a proposal failed as well, but the server answers
			g.Round(t.Context())
			synctest.Wait()
		}
		is.Equal(len(w.View().Servers), 3)
		is.Equal(len(w.View().Unavailable), 1)
		is.Equal(w.View().Unavailable[0].GetServer(), f.sidecars[0].name)
		f.stop()
		time.Sleep(time.Minute)
	})
}

// TestRestartedSidecarIsPushedTo restarts a sidecar that had received a change.
// It starts without a configuration and must get the change again.
func TestRestartedSidecarIsPushedTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 1, 0)
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		f.change(ctx, 1, f.entries[0])
		synctest.Wait()
		s := f.sidecars[0]
		is.Equal(s.keeper.State().Sequence, uint64(1))
		s.keeper.Stop()
		s.keeper = keeper.New(keeper.Config{Table: f.table})
		f.table.setDown(true)
		f.entries[0].watcher.Record(&wire.Report{Server: s.name, Address: s.address, Boot: 2, Serial: 1})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(s.keeper.State().Sequence, uint64(1))
		cancel()
		f.stop()
		s.keeper.Stop()
		time.Sleep(time.Minute)
	})
}

// TestLeavingEntryIsNotLive checks that an entry that announces its stop is no
// longer live for the others.
func TestLeavingEntryIsNotLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 0, 0)
		ctx, end := f.running(t)
		defer end()
		is.Equal(len(f.entries[0].gossip.Live()), 3)
		f.entries[3].gossip.Leave(ctx)
		synctest.Wait()
		for _, e := range f.entries[:3] {
			is.Equal(len(e.gossip.Live()), 2)
			is.True(!slices.Contains(e.gossip.EntriesFor("s"), f.entries[3].address))
		}
	})
}

// TestSidecarsDoNotPush checks which methods each role may call.
func TestSidecarsDoNotPush(t *testing.T) {
	tlsState := func(role string) *tls.ConnectionState {
		return &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: pkix.Name{OrganizationalUnit: []string{role}}}}}
	}
	for name, test := range map[string]struct {
		call  string
		state *tls.ConnectionState
		want  int
	}{
		"entry pushes":    {"Push", tlsState(certifier.Entry), http.StatusOK},
		"sidecar pushes":  {"Push", tlsState(certifier.Sidecar), http.StatusForbidden},
		"sidecar borrows": {"Borrow", tlsState(certifier.Sidecar), http.StatusForbidden},
		"sidecar greets":  {"Greet", tlsState(certifier.Sidecar), http.StatusOK},
		"push, no TLS":    {"Push", nil, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 0, 0)
			defer f.stop()
			q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PeersPathPrefix+test.call, strings.NewReader("{}"))
			q.Header.Set("Content-Type", "application/json")
			q.TLS = test.state
			w := httptest.NewRecorder()
			f.entries[0].gossip.Handler().ServeHTTP(w, q)
			if w.Code != test.want {
				t.Errorf("status %d, want %d", w.Code, test.want)
			}
		})
	}
}
