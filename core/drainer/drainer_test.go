package drainer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	"bamboohill/core/drainer"

	"github.com/matryer/is"
)

func TestConnectionReuse(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.WriteString(w, "last\n")
		w.(http.Flusher).Flush()
		if q.URL.Path == "/hangs" {
			<-release
		}
	}))
	defer server.Close()
	defer close(release)
	tests := map[string]struct {
		path   string
		reused bool
	}{
		"ends":  {path: "/", reused: true},
		"hangs": {path: "/hangs"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := &http.Client{Transport: &http.Transport{}}
			get := func() (reused bool) {
				trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }}
				q, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, server.URL+test.path, nil)
				is.NoErr(err)
				r, err := client.Do(q) //nolint:bodyclose // What is tested closes it.
				is.NoErr(err)
				_, err = io.ReadFull(r.Body, make([]byte, len("last\n")))
				is.NoErr(err)
				drainer.Close(r.Body)
				return reused
			}
			is.Equal(get(), false)
			is.Equal(get(), test.reused)
		})
	}
}
