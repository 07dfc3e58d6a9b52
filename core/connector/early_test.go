package connector_test

import (
	"context"
	"io"
	"testing"
	"time"

	"bamboohill/core/connector"
	"bamboohill/core/scripter"

	"github.com/matryer/is"
)

// largeBody is the size of the body of a request that is written in the background.
const largeBody = 4 << 20

// serveEarly starts a server that answers requests once their heads have been read, and
// returns its address.
func serveEarly(t *testing.T, text string, delay time.Duration, ending scripter.Ending) string {
	t.Helper()
	s, err := scripter.Start(scripter.Config{Answer: scripter.Fixed(text), Delay: delay, Ending: ending})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() }) // the error does not matter here
	return s.Address()
}

// TestEarlyAnswer sends requests that a server answers before it has read them. An answer
// without a length is whole only if the server has ended its direction, and one with a length
// is whole however the connection ends.
func TestEarlyAnswer(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: mine\r\n\r\npart"
	framed := "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\npart"
	chunked := "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
	tests := map[string]struct {
		text  string
		end   scripter.Ending
		whole bool
	}{
		"reset":                   {text: unframed, end: scripter.Reset},
		"close unread":            {text: unframed, end: scripter.CloseUnread},
		"read and close":          {text: unframed, end: scripter.ReadThenClose, whole: true},
		"end, read on":            {text: unframed, end: scripter.HalfClose, whole: true},
		"end":                     {text: unframed, end: scripter.HalfCloseUnread, whole: true},
		"length, reset":           {text: framed, end: scripter.Reset, whole: true},
		"length, close unread":    {text: framed, end: scripter.CloseUnread, whole: true},
		"length, keep":            {text: framed, end: scripter.KeepUnread, whole: true},
		"chunks, reset":           {text: chunked, end: scripter.Reset, whole: true},
		"chunks, keep":            {text: chunked, end: scripter.KeepUnread, whole: true},
		"chunks without an end":   {text: chunked[:len(chunked)-5], end: scripter.HalfCloseUnread},
		"length beyond the reset": {text: framed[:len(framed)-1], end: scripter.Reset},
	}
	for name, test := range tests {
		for when, delay := range map[string]time.Duration{"at once": 0, "soon": time.Millisecond, "later": 20 * time.Millisecond} {
			t.Run(name+"/"+when, func(t *testing.T) {
				t.Parallel()
				address := serveEarly(t, test.text, delay, test.end)
				c := connector.New(connector.Config{})
				for range 8 {
					r := request()
					r.Body = make([]byte, largeBody)
					body, err := exchange(c, address, r)
					if (err == nil) != test.whole {
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
	address := serveEarly(t, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\npart", 0, scripter.HalfCloseUnread)
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
