package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bamboohill/core/tallier"
	"bamboohill/core/viewer"
	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// Sizes of the streams that slow callers read.
const (
	slowEvents     = 100
	slowEventBytes = 4000
	longEventBytes = 10_000 // so that the kernel's buffers don't hold the stream
)

// eventBytes pads the events of all streams but those of short prompts.
func eventBytes(n int) func(string) int {
	return func(body string) int {
		if body == "short" {
			return 0
		}
		return n
	}
}

// slowClient returns a client whose connections have a small receive buffer.
func slowClient() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err == nil {
			err = c.(*net.TCPConn).SetReadBuffer(32 << 10)
		}
		return c, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// ask sends a request with an id of its own and returns the answer once its header is read.
func (b *bench) ask(client *http.Client, id, path, body string) (*http.Response, error) {
	r := b.request("POST", path, body)
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "10000")
	return client.Do(r)
}

// isWhole reports whether a stream of the slow kind has all its events.
func isWhole(text string) bool {
	return strings.Count(text, "\nid: ") == slowEvents && strings.HasSuffix(text, "\n\n")
}

// TestPausingCaller guards against answers that a server cuts off because the entry reads
// them no faster than its caller.
func TestPausingCaller(t *testing.T) {
	for name, path := range map[string]string{"resumable": "/chat/x", "not resumable": "/fixed/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := startBench(t, 1, 0, 0, 0, rig.ServerConfig{Events: slowEvents, EventBytes: eventBytes(longEventBytes), Cutoff: 2 * time.Second})
			answer, err := b.ask(slowClient(), "pauses", path, "hello")
			is.NoErr(err)
			defer answer.Body.Close()
			time.Sleep(4 * time.Second)
			text, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.True(isWhole(string(text)))
			is.Equal(len(b.servers[0].Runs()), 1)
			is.Equal(b.bytes.Counts().ByKind[tallier.Unread], int64(0))
		})
	}
}

// wave asks short prompts, one each interval for some time, and returns the longest time
// until a first event and the number of prompts that were not answered as a whole.
func (b *bench) wave(name string, interval, length time.Duration) (longest time.Duration, failed int64) {
	var failures, slowest atomic.Int64
	var asked sync.WaitGroup
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		asked.Go(func() {
			began := time.Now()
			answer, err := b.ask(http.DefaultClient, fmt.Sprint(name, n), "/chat/short", "short")
			if err != nil {
				failures.Add(1)
				return
			}
			defer answer.Body.Close()
			first := make([]byte, 1)
			_, err = io.ReadFull(answer.Body, first)
			took := int64(time.Since(began))
			for old := slowest.Load(); took > old && !slowest.CompareAndSwap(old, took); old = slowest.Load() {
			}
			if _, more := io.Copy(io.Discard, answer.Body); err != nil || more != nil || answer.StatusCode != http.StatusOK {
				failures.Add(1)
			}
		})
		time.Sleep(interval)
	}
	asked.Wait()
	return time.Duration(slowest.Load()), failures.Load()
}

// targetLatency is the target of the routes of the bench until the first event.
const targetLatency = 300 * time.Millisecond

// TestManySlowCallers checks an entry of 184 MB with 200 callers that read nothing for
// seconds: it holds no more than its bound, those that lose their answer see it, and the
// first events of other callers are in time.
func TestManySlowCallers(t *testing.T) {
	is := is.New(t)
	const bound, callers = 184 << 20 / 4, 200
	b := startBench(t, 8, 0, 0, bound, rig.ServerConfig{Events: slowEvents, EventBytes: eventBytes(slowEventBytes), Cutoff: 2 * time.Second})
	before, failed := b.wave("before", 50*time.Millisecond, time.Second)
	is.Equal(failed, int64(0))
	release, client := make(chan struct{}), slowClient()
	var whole, cut, refused, wrong atomic.Int64
	var slow sync.WaitGroup
	for n := range callers {
		slow.Go(func() {
			answer, err := b.ask(client, fmt.Sprint("slow", n), "/fixed/x", "hello")
			if err != nil {
				cut.Add(1) // before it had read the header
				return
			}
			defer answer.Body.Close()
			<-release
			text, err := io.ReadAll(answer.Body)
			switch {
			case answer.StatusCode == http.StatusServiceUnavailable:
				refused.Add(1)
			case err != nil:
				cut.Add(1)
			case isWhole(string(text)):
				whole.Add(1)
			default:
				wrong.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	during, failed := b.wave("during", 50*time.Millisecond, 2*time.Second)
	c := b.bytes.Counts()
	t.Logf("first event %v before, %v beside %d stalled callers, %d MB held, %d gave way", before, during, c.Stalled, c.ByKind[tallier.Unread]>>20, c.Evicted)
	is.True(c.Stalled > callers/2)
	is.True(c.ByKind[tallier.Unread] <= bound)
	is.Equal(failed, int64(0))
	is.True(before <= targetLatency)
	is.True(during <= targetLatency)
	close(release)
	slow.Wait()
	t.Logf("%d whole, %d cut, %d refused", whole.Load(), cut.Load(), refused.Load())
	is.Equal(wrong.Load(), int64(0))
	is.Equal(cut.Load(), c.Evicted) // nobody else loses an answer
	is.Equal(refused.Load(), int64(0))
	is.Equal(b.bytes.Counts().ByKind[tallier.Unread], int64(0))
}

// TestServersThatReadSlowly checks that bodies which wait at a server that reads slowly are
// bounded, and hold up neither other bodies nor short prompts.
func TestServersThatReadSlowly(t *testing.T) {
	is := is.New(t)
	const bound = 16 << 20
	fast := rig.ServerConfig{Events: 8, EventInterval: 2 * time.Millisecond}
	slow := fast
	slow.ReadRate = 64 << 10
	b := startBench(t, 4, 0, 0, bound, slow, slow, fast)
	b.maxBody = 256 << 10
	b.configure(2, func(*viewer.Route) {})
	before, failed := b.wave("before", 50*time.Millisecond, time.Second)
	is.Equal(failed, int64(0))
	var bodies, watching sync.WaitGroup
	var most, answered atomic.Int64
	watched := make(chan struct{})
	watching.Go(func() {
		for {
			select {
			case <-watched:
				return
			case <-time.After(time.Millisecond):
				most.Store(max(most.Load(), b.bytes.Counts().Waiting))
			}
		}
	})
	for n := range 60 {
		bodies.Go(func() {
			body := strings.Repeat("x", 30<<10+rand.IntN(90<<10))
			answer, err := b.ask(http.DefaultClient, fmt.Sprint("body", n), "/chat/x", body)
			if err != nil {
				return
			}
			defer answer.Body.Close()
			if _, err := io.Copy(io.Discard, answer.Body); err == nil && answer.StatusCode == http.StatusOK {
				answered.Add(1)
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	close(watched)
	watching.Wait()
	during, failed := b.wave("during", 50*time.Millisecond, time.Second)
	t.Logf("first event %v before, %v beside bodies; %d KB waited at most", before, during, most.Load()>>10)
	is.Equal(failed, int64(0))
	is.True(before <= targetLatency)
	is.True(during <= targetLatency)
	is.True(most.Load() > 0)
	is.True(most.Load() <= bound/64+120<<10+4<<10) // one body beyond the bound
	bodies.Wait()
	is.Equal(answered.Load(), int64(60))
	is.Equal(b.bytes.Counts().Waiting, int64(0))
	is.Equal(b.bytes.Counts().ByKind[tallier.Bodies], int64(0))
}

// TestRefusedAtTheBound checks that a body beyond the bound is refused at once, before it is
// sent, with the time to return.
func TestRefusedAtTheBound(t *testing.T) {
	is := is.New(t)
	b := startBench(t, 0, 1, 0, 40<<10, rig.ServerConfig{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://")) //nolint:noctx // it ends with the test
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(2 * time.Second)))
	_, err = io.WriteString(conn, "POST /read/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a\r\nAuthorization: Token "+key+"\r\nContent-Length: 60000\r\n\r\n")
	is.NoErr(err)
	head := make([]byte, 512)
	n, err := conn.Read(head)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(head[:n]), "HTTP/1.1 503 "))
	is.True(strings.Contains(string(head[:n]), "Retry-After: "))
	is.Equal(b.bytes.Counts().Refused, int64(1))
	got, _, err := b.do(b.request("POST", "/read/x", strings.Repeat("x", 20<<10))) // it fits
	is.NoErr(err)
	is.Equal(got.StatusCode, http.StatusOK)
	r := b.request("POST", "/read/x", "")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 60<<10))), -1
	got, _, err = b.do(r) // refused once it has grown
	is.NoErr(err)
	is.Equal(got.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(b.servers[0].Runs()), 1)
	is.Equal(b.bytes.Counts().ByKind[tallier.Bodies], int64(0))

}
