package verifier_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"bamboohill/core/scripter"
	"bamboohill/core/verifier"

	"github.com/matryer/is"
)

// start starts a server that answers with a text in turn on all connections, and with the last
// one after that. It returns its URL and the number of requests so far.
func start(t *testing.T, ending scripter.Ending, texts ...string) (string, *atomic.Int64) {
	t.Helper()
	var requests atomic.Int64
	s, err := scripter.Start(scripter.Config{Ending: ending, Answer: func(*http.Request) string {
		return texts[min(int(requests.Add(1)), len(texts))-1]
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() }) // the error does not matter here
	return "http://" + s.Address() + "/", &requests
}

// fetch sends a request and returns the body of its answer.
func fetch(c *http.Client, method, url string, body []byte) (string, error) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body)) //nolint:noctx // the server ends it with the test
	if err != nil {
		return "", err
	}
	answer, err := c.Do(q)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

// TestTransportHeads gets answers with each head through the client of net/http.
func TestTransportHeads(t *testing.T) {
	for name, test := range headsOfAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url, _ := start(t, scripter.ReadThenClose, test.text)
			c := &http.Client{Transport: verifier.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 128 << 10})}
			if strings.Contains(test.text, "chunked\r\n") && test.sound {
				url, _ = start(t, scripter.ReadThenClose, test.text+"0\r\n\r\n")
			}
			_, err := fetch(c, http.MethodGet, url, nil)
			var broken *verifier.HeadError
			is.Equal(errors.As(err, &broken), !test.sound)
			is.Equal(err == nil, test.sound)
		})
	}
}

// TestTransportReset resets connections within answers to requests that are being written.
func TestTransportReset(t *testing.T) {
	const tries = 10
	tests := map[string]struct {
		text   string
		ending scripter.Ending
		whole  bool
	}{
		"no length, reset":          {text: "HTTP/1.1 200 OK\r\n\r\nbody", ending: scripter.Reset},
		"no length, closed unread":  {text: "HTTP/1.1 200 OK\r\n\r\nbody", ending: scripter.CloseUnread},
		"no length, ended unread":   {text: "HTTP/1.1 200 OK\r\n\r\nbody", ending: scripter.HalfCloseUnread, whole: true},
		"no length, ended":          {text: "HTTP/1.1 200 OK\r\n\r\nbody", ending: scripter.ReadThenClose, whole: true},
		"length, kept unread":       {text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", ending: scripter.KeepUnread, whole: true},
		"chunks, then ended unread": {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ending: scripter.HalfCloseUnread, whole: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url, _ := start(t, test.ending, test.text)
			c := &http.Client{Transport: verifier.NewTransport(&http.Transport{})}
			for n := range tries {
				text, err := fetch(c, http.MethodPost, url, make([]byte, uploadBytes))
				if (err == nil) != test.whole || err == nil && text != "body" {
					t.Errorf("try %d: got %q, error %v, want whole %v", n, text, err, test.whole)
				}
			}
		})
	}
}

// TestTransportTrailer checks names in trailers.
func TestTransportTrailer(t *testing.T) {
	for trailer, sound := range map[string]bool{"": true, "Note: a\r\n": true, "Other Note: a\r\n": false} {
		t.Run(trailer, func(t *testing.T) {
			is := is.New(t)
			url, _ := start(t, scripter.ReadThenClose, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n")
			text, err := fetch(&http.Client{Transport: verifier.DefaultTransport}, http.MethodGet, url, nil)
			is.Equal(text, "body")
			var broken *verifier.HeadError
			is.Equal(errors.As(err, &broken), !sound)
		})
	}
}

// TestBrokenIsNotRepeated checks that net/http does not send a request again whose answer on a
// kept connection is broken, as the request may have run.
func TestBrokenIsNotRepeated(t *testing.T) {
	sound := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for name, test := range headsOfAnswers {
		if test.sound {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url, requests := start(t, scripter.Continue, sound, test.text, sound)
			c := &http.Client{Transport: verifier.NewTransport(&http.Transport{MaxResponseHeaderBytes: 128 << 10})}
			text, err := fetch(c, http.MethodGet, url, nil)
			is.NoErr(err)
			is.Equal(text, "body")
			_, err = fetch(c, http.MethodGet, url, nil)
			var broken *verifier.HeadError
			is.True(errors.As(err, &broken))
			is.Equal(requests.Load(), int64(2))
			text, err = fetch(c, http.MethodGet, url, nil) // on another connection
			is.NoErr(err)
			is.Equal(text, "body")
		})
	}
}
