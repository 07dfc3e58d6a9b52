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

// echo starts a server that answers every request, and counts the requests.
func echo(t *testing.T) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		requests.Add(1)
		io.WriteString(w, "echo")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
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

func TestModes(t *testing.T) {
	cases := map[string]struct {
		mode     Mode
		answered bool
		requests int64
	}{
		"pass":    {Pass, true, 1},
		"swallow": {DropRequests, false, 0},
		"mute":    {DropResponses, false, 1},
		"reset":   {Reset, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target, requests := echo(t)
			r := New(Config{Pick: FixedTarget(target)})
			r.SetMode(c.mode)
			url := listen(t, r)
			client := &http.Client{Timeout: 300 * time.Millisecond}
			if c.answered {
				client.Timeout = 0
			}
			response, err := get(t, client, url)
			is.Equal(err == nil, c.answered)
			if err == nil {
				response.Body.Close()
			}
			for c.requests > requests.Load() {
				time.Sleep(time.Millisecond)
			}
			is.Equal(requests.Load(), c.requests)
			r.SetMode(Pass) // a connection that lost bytes is closed, not used again
			client.Timeout = 0
			response, err = get(t, client, url)
			is.NoErr(err)
			response.Body.Close()
		})
	}
}

func TestBalancerFollowsReadiness(t *testing.T) {
	is := is.New(t)
	var ready atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	other, requests := echo(t)
	address := strings.TrimPrefix(server.URL, "http://")
	b := NewBalancer(BalancerConfig{Targets: []string{address, other}, Interval: 5 * time.Millisecond, Timeout: time.Second})
	go b.Run(t.Context())
	waitUntil(func() bool { return len(b.readyTargets()) == 1 })
	url := listen(t, b.Relay())
	ready.Store(true)
	waitUntil(func() bool { return len(b.readyTargets()) == 2 })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 4 {
		response, err := get(t, client, url)
		is.NoErr(err)
		response.Body.Close()
	}
	sent, refused := b.Relay().Counts()
	is.Equal(sent, map[string]int{address: 2, other: 2})
	is.Equal(refused, 0)
	is.True(requests.Load() > 0)
	ready.Store(false)
	waitUntil(func() bool { return len(b.readyTargets()) == 1 })
}

func get(t *testing.T, client *http.Client, url string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(q)
}

func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}
