package reporter

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// entries is a group of fake entries that count heartbeats and may fail.
type entries struct {
	mu    sync.Mutex
	beats map[string]int
	down  map[string]bool
	names []string // entries that every reply names
}

// countingEntry is one of the fake entries.
type countingEntry struct {
	all     *entries
	address string
}

func (o countingEntry) Beat(context.Context, *wire.Report) (*wire.BeatReply, error) {
	o.all.mu.Lock()
	defer o.all.mu.Unlock()
	o.all.beats[o.address]++
	return &wire.BeatReply{Entries: o.all.names}, nil
}

func serve(t *testing.T, n int) *entries {
	t.Helper()
	all := &entries{beats: map[string]int{}, down: map[string]bool{}}
	for range n {
		var handler http.Handler
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			all.mu.Lock()
			down := all.down[q.Host]
			all.mu.Unlock()
			if down {
				http.Error(w, "down", http.StatusInternalServerError)
				return
			}
			handler.ServeHTTP(w, q)
		}))
		t.Cleanup(s.Close)
		address := s.Listener.Addr().String()
		handler = wire.NewHeartbeatsServer(countingEntry{all: all, address: address})
		all.names = append(all.names, address)
	}
	return all
}

func TestBeatsReachEntriesPerServer(t *testing.T) {
	is := is.New(t)
	all := serve(t, 8)
	r := New(Config{
		Entries: all.names[:1], Interval: time.Second, Peer: certifier.NewPeer(nil),
		Report: func() *wire.Report { return &wire.Report{Server: "s"} },
	})
	r.SendNow(t.Context())
	is.Equal(r.Reachable(), 1)
	is.Equal(len(r.Known()), 8) // the reply named the others
	all.beats = map[string]int{}
	r.SendNow(t.Context())
	is.Equal(r.Reachable(), EntriesPerServer)
	is.Equal(len(all.beats), EntriesPerServer)

	// Two entries fail. Both must be replaced by the next ones, and one of them
	// must still be retried in each round.
	n := 0
	for address := range all.beats {
		if n++; n <= 2 {
			all.down[address] = true
		}
	}
	for range replaceAfterFailures {
		r.SendNow(t.Context())
		is.Equal(r.Reachable(), EntriesPerServer-2)
	}
	r.SendNow(t.Context())
	is.Equal(r.Reachable(), EntriesPerServer)
	all.down = map[string]bool{}
	for range 20 {
		r.SendNow(t.Context())
	}
	is.Equal(r.Reachable(), EntriesPerServer) // the first ones again, and no more than these
}

func TestDeadEntryIsForgotten(t *testing.T) {
	is := is.New(t)
	all := serve(t, 3)
	r := New(Config{
		Entries: all.names[:1], Interval: time.Second, Peer: certifier.NewPeer(nil),
		Report: func() *wire.Report { return &wire.Report{Server: "s"} },
	})
	r.SendNow(t.Context())
	all.down[all.names[2]] = true
	all.names = all.names[:2]
	for range forgetAfterFailures {
		r.SendNow(t.Context())
	}
	is.Equal(len(r.Known()), 2)
}

// TestTriggerHeartbeat checks that a request for a heartbeat is met at once, and
// that many requests lead to few heartbeats.
func TestTriggerHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		beats := 0
		r := New(Config{
			Interval: time.Minute, Peer: certifier.NewPeer(nil),
			Report: func() *wire.Report { beats++; return &wire.Report{Server: "s"} },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		synctest.Wait()
		is.Equal(beats, 1) // the first
		for range 10 {
			r.TriggerHeartbeat()
		}
		synctest.Wait()
		is.True(beats >= 2 && beats <= 3)
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(beats <= 3)
		cancel()
		synctest.Wait()
	})
}
