package connector_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"bamboohill/core/connector"

	"github.com/matryer/is"
)

// endings are the ways in which a server ends a connection on which it has answered before
// it has read the request.
var endings = map[string]func(c *net.TCPConn, body io.Reader){
	"reset": func(c *net.TCPConn, _ io.Reader) {
		_ = c.SetLinger(0) // it fails only if the connection is closed
		_ = c.Close()      // the error does not matter here
	},
	"close unread": func(c *net.TCPConn, _ io.Reader) { _ = c.Close() },
	"read and close": func(c *net.TCPConn, body io.Reader) {
		_, _ = io.Copy(io.Discard, body) // the test checks what the caller gets
		_ = c.Close()
	},
	"end":  func(c *net.TCPConn, _ io.Reader) { _ = c.CloseWrite() },
	"keep": func(*net.TCPConn, io.Reader) {},
}

// largeBody is the size of the body of a request that is written in the background.
const largeBody = 4 << 20

// serveEarly answers requests once their heads have been read, and ends the connections after
// a delay. It returns its address. The connections are closed when the test ends.
func serveEarly(t *testing.T, text string, delay time.Duration, end func(*net.TCPConn, io.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // it ends with the test
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the error does not matter here
	serve := func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		time.Sleep(delay)
		end(c, r.Body)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() }) // it may be closed already
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// TestEarlyAnswer sends requests that a server answers before it has read them. An answer
// without a length is whole only if the server has ended its direction, and one with a length
// is whole however the connection ends.
func TestEarlyAnswer(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: mine\r\n\r\npart"
	framed := "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\npart"
	chunked := "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
	tests := map[string]struct {
		text, end string
		whole     bool
	}{
		"reset":                   {text: unframed, end: "reset"},
		"close unread":            {text: unframed, end: "close unread"},
		"read and close":          {text: unframed, end: "read and close", whole: true},
		"end":                     {text: unframed, end: "end", whole: true},
		"length, reset":           {text: framed, end: "reset", whole: true},
		"length, close unread":    {text: framed, end: "close unread", whole: true},
		"length, keep":            {text: framed, end: "keep", whole: true},
		"chunks, reset":           {text: chunked, end: "reset", whole: true},
		"chunks, keep":            {text: chunked, end: "keep", whole: true},
		"chunks without an end":   {text: chunked[:len(chunked)-5], end: "end"},
		"length beyond the reset": {text: framed[:len(framed)-1], end: "reset"},
	}
	for name, test := range tests {
		for when, delay := range map[string]time.Duration{"at once": 0, "soon": time.Millisecond, "later": 20 * time.Millisecond} {
			t.Run(name+"/"+when, func(t *testing.T) {
				t.Parallel()
				address := serveEarly(t, test.text, delay, endings[test.end])
				c := connector.New(connector.Config{})
				for range 8 {
					r := request()
					r.Body = make([]byte, largeBody)
					body, err := exchange(c, address, r)
					// A reset may come before the kernel has delivered the answer.
					lost := test.end == "reset" && errors.Is(err, syscall.ECONNRESET)
					if (err == nil) != test.whole && !lost {
						t.Errorf("got %q, error %v, want whole %v", body, err, test.whole)
					}
					if err == nil && body != "part" {
						t.Errorf("got %q", body)
					}
				}
			})
		}
	}
}

// TestEndOfUnreadRequest checks that a whole answer does not wait for the write of a request
// that the server reads no more, and that its connection is not used again.
func TestEndOfUnreadRequest(t *testing.T) {
	is := is.New(t)
	address := serveEarly(t, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\npart", 0, endings["end"])
	c := connector.New(connector.Config{})
	for n := range 3 {
		written := make(chan int, 1)
		r := request()
		r.Body = make([]byte, largeBody)
		r.Written = func(n int) { written <- n }
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		a, err := c.Send(ctx, address, r)
		is.NoErr(err)
		body, err := io.ReadAll(a)
		is.NoErr(err)
		is.Equal(string(body), "part")
		a.Close()
		select {
		case <-written:
		case <-ctx.Done():
			t.Error("the write goes on")
		}
		cancel()
		is.Equal(c.Opened(), int64(n+1))
	}
}
