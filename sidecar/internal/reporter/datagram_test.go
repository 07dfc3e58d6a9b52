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

// fake is one entry that takes calls and datagrams in this process, with faults.
type fake struct {
	net.PacketConn // of the sidecar: datagrams to the entry come here
	answers        chan []byte
	pushed         chan uint64 // sequence numbers of the pushes that the sidecar took

	mu      sync.Mutex
	session uint64
	key     []byte
	base    *wire.Report
	every   time.Duration
	deaf    bool // takes no datagram
	mute    bool // answers no datagram
	forges  bool // answers with another key
	ask     bool // asks for a call
	down    bool // takes no call
	calls   int
	beats   []*wire.Report // by datagram
	serials []uint64
}

func newFake(every time.Duration) *fake {
	return &fake{answers: make(chan []byte, 64), pushed: make(chan uint64, 4), every: every}
}

func (f *fake) Beat(_ context.Context, r *wire.Report) (*wire.BeatReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.serials = append(f.serials, r.GetSerial())
	f.session, f.key, f.base = sealer.NewSession(), sealer.NewKey(), differ.Base(r)
	return &wire.BeatReply{EveryMs: f.every.Milliseconds(), Pass: &wire.Pass{Session: f.session, Key: f.key}}, nil
}

// RoundTrip carries a call.
func (f *fake) RoundTrip(q *http.Request) (*http.Response, error) {
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

// WriteTo takes a datagram.
func (f *fake) WriteTo(datagram []byte, _ net.Addr) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	body, err := sealer.Open(f.key, sealer.Beat, datagram)
	if err != nil || f.deaf {
		return len(datagram), nil
	}
	beat := &wire.Beat{}
	if err := proto.Unmarshal(body, beat); err != nil {
		return 0, err
	}
	report := differ.Apply(f.base, beat)
	f.beats = append(f.beats, report)
	f.serials = append(f.serials, report.GetSerial())
	if f.mute {
		return len(datagram), nil
	}
	answer, err := proto.Marshal(&wire.BeatAck{Serial: report.GetSerial(), Sequence: 7, EveryMs: f.every.Milliseconds(), Call: f.ask})
	key := f.key
	if f.forges {
		key = sealer.NewKey()
	}
	sealed := sealer.Seal(key, sealer.Ack, f.session, answer)
	f.answers <- sealed
	f.answers <- sealed // twice
	return len(datagram), err
}

// ReadFrom gives the sidecar an answer.
func (f *fake) ReadFrom(buffer []byte) (int, net.Addr, error) {
	answer, open := <-f.answers
	if !open {
		return 0, nil, net.ErrClosed
	}
	return copy(buffer, answer), nil, nil
}

func (f *fake) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// run lets a reporter beat to a fake entry for a while.
func run(t *testing.T, f *fake, during func(*Reporter)) *Reporter {
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
	f.set(func() { close(f.answers) })
	synctest.Wait()
	return r
}

func TestDatagrams(t *testing.T) {
	const every = 2 * time.Second
	for name, test := range map[string]struct {
		fault        func(*fake)
		span         time.Duration
		calls, beats int // least and most of each are these, one more or less
		answered     int
	}{
		"all arrive":                 {func(*fake) {}, 60 * time.Second, 1, 30, 1},
		"none arrives":               {func(f *fake) { f.deaf = true }, 60 * time.Second, 30, 0, 1},
		"no answer arrives":          {func(f *fake) { f.mute = true }, 60 * time.Second, 30, 3, 1},
		"answers are forged":         {func(f *fake) { f.forges = true }, 60 * time.Second, 30, 3, 1},
		"the entry asks for calls":   {func(f *fake) { f.ask = true }, 20 * time.Second, 10, 9, 1},
		"the entry is down, at last": {func(f *fake) { f.down, f.deaf = true, true }, 60 * time.Second, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFake(every)
				test.fault(f)
				r := run(t, f, func(r *Reporter) {
					time.Sleep(test.span)
					is.Equal(r.Reachable(), test.answered)
				})
				near := func(got, want int) bool { return got >= want-max(2, want/10) && got <= want+max(2, want/10) }
				t.Log("calls", f.calls, "datagrams", len(f.beats), "lost", r.Counts().Unanswered.Load())
				is.True(near(f.calls, test.calls))
				is.True(near(len(f.beats), test.beats))
				for _, b := range f.beats {
					is.Equal(b.GetFree(), int64(100-b.GetSerial())) // each stands alone
					is.Equal(b.GetEveryMs(), every.Milliseconds())
				}
				for i := 1; i < len(f.serials); i++ {
					is.True(f.serials[i] >= f.serials[i-1])
				}
			})
		})
	}
}

// TestEntryRestarts has the entry forget the session: the first datagram that
// gets no answer is followed by a call in the same moment.
func TestEntryRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(10 * time.Second)
		run(t, f, func(*Reporter) {
			time.Sleep(35 * time.Second)
			calls := 0
			f.set(func() { calls = f.calls; f.key = sealer.NewKey() })
			is.Equal(calls, 1)
			time.Sleep(13*time.Second + ackLimit)
			f.set(func() { calls = f.calls })
			is.Equal(calls, 2)
			time.Sleep(35 * time.Second)
		})
		is.Equal(f.calls, 2) // datagrams again
		is.True(len(f.beats) >= 6)
	})
}

// TestDeadEntryIsAskedSoon has the entry die: what a slow pace must not delay
// is that the sidecar finds out, once a heartbeat failed, and finds it back.
func TestDeadEntryIsAskedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(20 * time.Second)
		run(t, f, func(r *Reporter) {
			time.Sleep(time.Second)
			f.set(func() { f.deaf, f.down = true, true })
			time.Sleep(25 * time.Second)
			is.Equal(r.Reachable(), 0)
			r.mu.Lock()
			failed := r.known["10.0.0.1:1"].failed
			r.mu.Unlock()
			is.True(failed >= 1)
			f.set(func() { f.deaf, f.down = false, false })
			time.Sleep(2 * time.Second)
			is.Equal(r.Reachable(), 1)
		})
	})
}

func TestToldEntryNeedsFewerHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(2 * time.Second)
		r := run(t, f, func(r *Reporter) {
			for range 60 {
				time.Sleep(time.Second)
				r.RecordReport("10.0.0.1:1")
			}
		})
		is.True(len(f.beats) <= 12) // of 30
		is.True(r.Counts().Skipped.Load() >= 18)
		is.Equal(r.Interval(), 2*time.Second)
	})
}

// TestPushes sends changes by datagram to a sidecar, some of them forged.
func TestPushes(t *testing.T) {
	for name, test := range map[string]struct {
		key   func(*fake) []byte
		way   sealer.Direction
		taken int
	}{
		"of the entry":        {func(f *fake) []byte { return f.key }, sealer.Push, 1},
		"of a stranger":       {func(*fake) []byte { return sealer.NewKey() }, sealer.Push, 0},
		"a beat sent back":    {func(f *fake) []byte { return f.key }, sealer.Beat, 0},
		"an answer to a push": {func(f *fake) []byte { return f.key }, sealer.PushAck, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFake(time.Second)
				run(t, f, func(*Reporter) {
					time.Sleep(3 * time.Second)
					body, err := proto.Marshal(&wire.DirectPush{Serial: 3, Batch: &wire.Batch{Sequence: 12}})
					is.NoErr(err)
					f.set(func() { f.answers <- sealer.Seal(test.key(f), test.way, f.session, body) })
					time.Sleep(time.Second)
				})
				is.Equal(len(f.pushed), test.taken)
			})
		})
	}
}
