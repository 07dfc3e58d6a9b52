package reporter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/differ"
	"bamboohill/core/sealer"
	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// fakeEntry is an in-process entry that accepts calls and datagrams, with faults.
type fakeEntry struct {
	net.PacketConn             // the sidecar's connection, which passes datagrams to the entry
	toSidecar      chan []byte // acknowledgements and pushes
	pushed         chan uint64 // sequence numbers of the pushes that the sidecar applied

	mu            sync.Mutex
	session       uint64
	key           []byte
	base          *wire.Report
	interval      time.Duration
	dropDatagrams bool // no datagram reaches the entry
	dropAcks      bool // no datagram is acknowledged
	forgeAcks     bool // acknowledgements are sealed with another key
	askForCall    bool // acknowledgements ask for a call
	down          bool // calls fail
	calls         int
	beats         []*wire.Report // reports that were sent as datagrams
	serials       []uint64
}

func newFakeEntry(interval time.Duration) *fakeEntry {
	return &fakeEntry{toSidecar: make(chan []byte, 64), pushed: make(chan uint64, 4), interval: interval}
}

// Beat answers a call with a new session.
func (f *fakeEntry) Beat(_ context.Context, r *wire.Report) (*wire.BeatReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.serials = append(f.serials, r.GetSerial())
	f.session, f.key, f.base = sealer.NewSession(), sealer.NewKey(), differ.Base(r)
	return &wire.BeatReply{EveryMs: f.interval.Milliseconds(), Pass: &wire.Pass{Session: f.session, Key: f.key}}, nil
}

// RoundTrip passes a call to the entry.
func (f *fakeEntry) RoundTrip(q *http.Request) (*http.Response, error) {
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	if down {
		return nil, net.ErrClosed
	}
	w := httptest.NewRecorder()
	wire.NewHeartbeatsServer(f).ServeHTTP(w, q)
	return w.Result(), nil
}

// WriteTo passes a datagram to the entry.
func (f *fakeEntry) WriteTo(datagram []byte, _ net.Addr) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	body, err := sealer.Open(f.key, sealer.Beat, datagram)
	if err != nil || f.dropDatagrams {
		return len(datagram), nil
	}
	beat := &wire.Beat{}
	if err := proto.Unmarshal(body, beat); err != nil {
		return 0, err
	}
	report := differ.Apply(f.base, beat)
	f.beats = append(f.beats, report)
	f.serials = append(f.serials, report.GetSerial())
	if f.dropAcks {
		return len(datagram), nil
	}
	ack, err := proto.Marshal(&wire.BeatAck{Serial: report.GetSerial(), Sequence: 7, EveryMs: f.interval.Milliseconds(), Call: f.askForCall})
	key := f.key
	if f.forgeAcks {
		key = sealer.NewKey()
	}
	sealed := sealer.Seal(key, sealer.Ack, f.session, ack)
	f.toSidecar <- sealed
	f.toSidecar <- sealed // duplicate
	return len(datagram), err
}

// ReadFrom returns a datagram from the entry.
func (f *fakeEntry) ReadFrom(buffer []byte) (int, net.Addr, error) {
	datagram, open := <-f.toSidecar
	if !open {
		return 0, nil, net.ErrClosed
	}
	return copy(buffer, datagram), nil, nil
}

func (f *fakeEntry) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// run sends heartbeats to a fake entry while during runs.
func run(t *testing.T, f *fakeEntry, during func(*Reporter)) *Reporter {
	t.Helper()
	peer := certifier.NewPeer(nil)
	peer.Client = &http.Client{Transport: f}
	serial := uint64(0)
	var mu sync.Mutex
	r := New(Config{
		Entries: []string{"10.0.0.1:1"}, Interval: 500 * time.Millisecond, Peer: peer, Conn: f,
		OnPush: func(b *wire.Batch) uint64 {
			f.pushed <- b.GetSequence()
			return b.GetSequence()
		},
		Report: func() *wire.Report {
			mu.Lock()
			defer mu.Unlock()
			serial++
			return &wire.Report{Server: "s", Boot: 1, Serial: serial, Free: int64(100 - serial), Role: "both"}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	go r.Run(ctx)
	during(r)
	cancel()
	synctest.Wait()
	f.set(func() { close(f.toSidecar) })
	synctest.Wait()
	return r
}

func TestDatagrams(t *testing.T) {
	const interval = 2 * time.Second
	for name, test := range map[string]struct {
		fault        func(*fakeEntry)
		duration     time.Duration
		calls, beats int // expected numbers; the tolerance is a tenth, at least 2
		reachable    int
	}{
		"all arrive":                  {func(*fakeEntry) {}, 60 * time.Second, 1, 30, 1},
		"none arrives":                {func(f *fakeEntry) { f.dropDatagrams = true }, 60 * time.Second, 30, 0, 1},
		"no acknowledgement arrives":  {func(f *fakeEntry) { f.dropAcks = true }, 60 * time.Second, 30, 3, 1},
		"acknowledgements are forged": {func(f *fakeEntry) { f.forgeAcks = true }, 60 * time.Second, 30, 3, 1},
		"the entry asks for calls":    {func(f *fakeEntry) { f.askForCall = true }, 20 * time.Second, 10, 9, 1},
		"the entry is down":           {func(f *fakeEntry) { f.down, f.dropDatagrams = true, true }, 60 * time.Second, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeEntry(interval)
				test.fault(f)
				r := run(t, f, func(r *Reporter) {
					time.Sleep(test.duration)
					is.Equal(r.Reachable(), test.reachable)
				})
				near := func(got, want int) bool { return got >= want-max(2, want/10) && got <= want+max(2, want/10) }
				t.Log("calls", f.calls, "datagrams", len(f.beats), "lost", r.Counts().Unanswered.Load())
				is.True(near(f.calls, test.calls))
				is.True(near(len(f.beats), test.beats))
				for _, b := range f.beats {
					is.Equal(b.GetFree(), int64(100-b.GetSerial())) // complete without the datagrams before it
					is.Equal(b.GetEveryMs(), interval.Milliseconds())
				}
				for i := 1; i < len(f.serials); i++ {
					is.True(f.serials[i] >= f.serials[i-1])
				}
			})
		})
	}
}

// TestEntryRestarts makes the entry forget the session. The first datagram that
// is not acknowledged must be followed by a call at once.
func TestEntryRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEntry(10 * time.Second)
		run(t, f, func(*Reporter) {
			time.Sleep(35 * time.Second)
			calls := 0
			f.set(func() { calls = f.calls; f.key = sealer.NewKey() })
			is.Equal(calls, 1)
			time.Sleep(13*time.Second + ackTimeout)
			f.set(func() { calls = f.calls })
			is.Equal(calls, 2)
			time.Sleep(35 * time.Second)
		})
		is.Equal(f.calls, 2) // then datagrams again
		is.True(len(f.beats) >= 6)
	})
}

// TestDeadEntryIsRetriedSoon makes the entry fail. After one failed heartbeat,
// the sidecar must retry soon in spite of a long interval, both to detect the
// failure and to detect that the entry is back.
func TestDeadEntryIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEntry(20 * time.Second)
		run(t, f, func(r *Reporter) {
			time.Sleep(time.Second)
			f.set(func() { f.dropDatagrams, f.down = true, true })
			time.Sleep(25 * time.Second)
			is.Equal(r.Reachable(), 0)
			r.mu.Lock()
			failed := r.known["10.0.0.1:1"].failed
			r.mu.Unlock()
			is.True(failed >= 1)
			f.set(func() { f.dropDatagrams, f.down = false, false })
			time.Sleep(2 * time.Second)
			is.Equal(r.Reachable(), 1)
		})
	})
}

func TestInformedEntryNeedsFewerHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEntry(2 * time.Second)
		r := run(t, f, func(r *Reporter) {
			for range 60 {
				time.Sleep(time.Second)
				r.RecordReport("10.0.0.1:1")
			}
		})
		is.True(len(f.beats) <= 12) // 30 without these reports
		is.True(r.Counts().Skipped.Load() >= 18)
		is.Equal(r.Interval(), 2*time.Second)
	})
}

// TestPushes pushes changes as datagrams to a sidecar. Forged ones must be ignored.
func TestPushes(t *testing.T) {
	for name, test := range map[string]struct {
		key       func(*fakeEntry) []byte
		direction sealer.Direction
		applied   int
	}{
		"from the entry":               {func(f *fakeEntry) []byte { return f.key }, sealer.Push, 1},
		"sealed with another key":      {func(*fakeEntry) []byte { return sealer.NewKey() }, sealer.Push, 0},
		"a beat sent back":             {func(f *fakeEntry) []byte { return f.key }, sealer.Beat, 0},
		"an acknowledgement of a push": {func(f *fakeEntry) []byte { return f.key }, sealer.PushAck, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeEntry(time.Second)
				run(t, f, func(*Reporter) {
					time.Sleep(3 * time.Second)
					body, err := proto.Marshal(&wire.DirectPush{Serial: 3, Batch: &wire.Batch{Sequence: 12}})
					is.NoErr(err)
					f.set(func() { f.toSidecar <- sealer.Seal(test.key(f), test.direction, f.session, body) })
					time.Sleep(time.Second)
				})
				is.Equal(len(f.pushed), test.applied)
			})
		})
	}
}
