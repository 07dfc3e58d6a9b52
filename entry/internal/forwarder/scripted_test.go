package forwarder_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bamboohill/core/scripter"
	"bamboohill/core/viewer"
	"bamboohill/platform/rig"
)

// reply is what an engine sends to one request before it closes the channel.
type reply struct {
	bytes string // AT stands for the id of the attempt
	reset bool   // the channel is reset
	hang  bool   // the channel stays open until the caller closes it
	flood string // sent again and again until the caller closes the channel
	leave func() // called once the bytes were sent
}

// script makes the engines of a bench send replies in turn: the n-th request that reaches
// any of them gets the n-th reply.
type script struct {
	mu      sync.Mutex
	replies []reply
	make    func(r *http.Request) reply // makes the replies instead, if not nil
	resumes []string                    // Last-Event-Id of each request
}

func (s *script) next(r *http.Request) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumes = append(s.resumes, r.Header.Get("Last-Event-Id"))
	if s.make != nil {
		return s.make(r)
	}
	if n := len(s.resumes); n <= len(s.replies) {
		return s.replies[n-1]
	}
	return reply{bytes: "HTTP/1.1 503 x\r\nAttempt-Id: AT\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"}
}

// arrivals returns the number of requests that reached the engines.
func (s *script) arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.resumes)
}

func (s *script) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // the entry may have closed the channel
	p := s.next(r)
	_, err = io.WriteString(c, strings.ReplaceAll(p.bytes, "AT", r.Header.Get("Attempt-Id")))
	for err == nil && p.flood != "" {
		_, err = io.WriteString(c, p.flood)
	}
	if p.leave != nil {
		p.leave()
	}
	if p.hang {
		_, _ = c.Read(make([]byte, 1)) // until the entry closes the channel
	}
	if p.reset {
		scripter.AwaitSent(c.(*net.TCPConn)) // what was sent arrives before the reset
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// newScriptedBench is a bench with n model engines that send the replies. Routes allow
// attempts runs.
func newScriptedBench(t *testing.T, n, attempts int, replies ...reply) (*bench, *script) {
	t.Helper()
	b := newBench(t, 0, 0)
	s := &script{replies: replies}
	list := map[viewer.ServerID]*viewer.Server{}
	for i := range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // it ends with the test
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() }) // the result does not matter to the test
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		for _, service := range []string{"pool", "plain"} {
			id := viewer.ServerID(fmt.Sprint(service, "-", i))
			list[id] = &viewer.Server{ID: id, Service: viewer.ServiceName(service), Address: l.Addr().String(), Domain: "north", Slots: 4, Observed: time.Now()}
		}
	}
	b.view.SetServers(list)
	b.configure(2, func(r *viewer.Route) { r.MaxAttempts = attempts })
	return b, s
}

// streamText is the body of the requests to scripted engines.
const streamText = "hello"

// span returns the events from one number to another, both included.
func span(from, to int) string {
	var all strings.Builder
	for n := from; n <= to; n++ {
		all.WriteString(rig.Event(n, streamText))
	}
	return all.String()
}

// streamHead is the head of a stream whose end can't be distinguished from a crash.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: AT\r\nResponse-Stamp: s\r\n"

// unframed returns a stream without length or chunks.
func unframed(events string) string { return streamHead + "\r\n" + events }

// chunked returns a stream in chunks that ends without the last chunk.
func chunked(events string) string {
	return streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events)
}

func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// complete returns a complete stream in chunks.
func complete(events string) string { return chunked(events) + "0\r\n\r\n" }

// plainAnswer returns an answer with a length.
func plainAnswer(status int, contentType, body string, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: AT\r\nResponse-Stamp: s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if contentType != "" {
		text += "Content-Type: " + contentType + "\r\n"
	}
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n" + body
}

// received is what a caller has read of an answer on its channel.
type received struct {
	raw      string
	status   int // 0 if no head came
	header   http.Header
	body     string // decoded, as far as it came
	complete bool   // as far as the caller can tell
}

// callRaw sends a request on a channel of its own and reads all that comes. The protocol is
// "HTTP/1.1" or "HTTP/1.0"; lines are further header lines. With halfClose the caller closes
// its sending side once the first bytes of the answer, or nothing for a while, came.
func (b *bench) callRaw(protocol, path string, halfClose bool, lines ...string) received {
	b.t.Helper()
	c, err := net.Dial("tcp4", b.server.Listener.Addr().String()) //nolint:noctx // a raw connection on purpose
	if err != nil {
		b.t.Fatal(err)
	}
	defer c.Close()
	r := b.request("POST", path, streamText)
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s %s\r\nHost: a.example\r\nContent-Length: %d\r\n", path, protocol, len(streamText))
	for name, values := range r.Header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, values[0])
	}
	for _, line := range lines {
		text.WriteString(line + "\r\n")
	}
	if _, err := io.WriteString(c, text.String()+"\r\n"+streamText); err != nil {
		b.t.Fatal(err)
	}
	var all []byte
	buffer := make([]byte, 64<<10)
	if halfClose {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, _ := c.Read(buffer) // an error is met again below
		all = append(all, buffer[:n]...)
		_ = c.(*net.TCPConn).CloseWrite()
	}
	ended := false
	for {
		// A channel that is kept has nothing more to send once the answer is complete.
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, err := c.Read(buffer)
		all = append(all, buffer[:n]...)
		if err != nil {
			ended = errors.Is(err, io.EOF)
			break
		}
		if got := parseAnswer(string(all), false); got.complete {
			break
		}
	}
	return parseAnswer(string(all), ended)
}

// parseAnswer parses what came on a channel, as a caller does. Ended is set if the channel
// ended without a reset.
func parseAnswer(raw string, ended bool) received {
	got := received{raw: raw}
	var source io.Reader = strings.NewReader(raw)
	if !ended {
		source = io.MultiReader(source, failingReader{})
	}
	answer, err := http.ReadResponse(bufio.NewReader(source), &http.Request{Method: http.MethodPost})
	if err != nil {
		return got
	}
	defer answer.Body.Close()
	got.status, got.header = answer.StatusCode, answer.Header
	body, err := io.ReadAll(answer.Body)
	got.body, got.complete = string(body), err == nil
	return got
}

// failingReader is the end of a channel that was reset.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }
