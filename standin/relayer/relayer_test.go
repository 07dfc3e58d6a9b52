package relayer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo answers every line and counts what reached it.
func echo(t *testing.T) (address string, heard *atomic.Int64) {
	heard = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		heard.Add(1)
		io.WriteString(w, "echo")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), heard
}

func listen(t *testing.T, r *Relay) string {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go r.Serve(listener)
	return "http://" + listener.Addr().String()
}

func TestCuts(t *testing.T) {
	cases := map[string]struct {
		cut     Mode
		answers bool
		heard   int64
	}{
		"pass":    {Pass, true, 1},
		"swallow": {DropRequests, false, 0},
		"mute":    {DropResponses, false, 1},
		"reset":   {Reset, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target, heard := echo(t)
			r := New(Config{Pick: FixedTarget(target)})
			r.SetMode(c.cut)
			url := listen(t, r)
			client := &http.Client{Timeout: 300 * time.Millisecond}
			if c.answers {
				client.Timeout = 0
			}
			reply, err := get(t, client, url)
			is.Equal(err == nil, c.answers)
			if err == nil {
				reply.Body.Close()
			}
			for c.heard > heard.Load() {
				time.Sleep(time.Millisecond)
			}
			is.Equal(heard.Load(), c.heard)
			r.SetMode(Pass) // a connection that lost bytes is not used again
			client.Timeout = 0
			reply, err = get(t, client, url)
			is.NoErr(err)
			reply.Body.Close()
		})
	}
}

func TestBalancerFollowsReadiness(t *testing.T) {
	is := is.New(t)
	var ready atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	other, heard := echo(t)
	address := strings.TrimPrefix(s.URL, "http://")
	b := NewBalancer(BalancerConfig{Targets: []string{address, other}, Interval: 5 * time.Millisecond})
	go b.Run(t.Context())
	until(func() bool { return len(b.readyTargets()) == 1 })
	url := listen(t, b.Relay())
	ready.Store(true)
	until(func() bool { return len(b.readyTargets()) == 2 })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 4 {
		reply, err := get(t, client, url)
		is.NoErr(err)
		reply.Body.Close()
	}
	sent, refused := b.Relay().Counts()
	is.Equal(sent, map[string]int{address: 2, other: 2})
	is.Equal(refused, 0)
	is.True(heard.Load() > 0)
	ready.Store(false)
	until(func() bool { return len(b.readyTargets()) == 1 })
}

func get(t *testing.T, client *http.Client, url string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(q)
}

func until(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}
