package tracer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// hops serves a call in front that calls one behind, and returns the front.
func hops(t *testing.T, front, behind *Tracer) *httptest.Server {
	t.Helper()
	last := httptest.NewServer(behind.Handler("gate", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.WriteString(w, q.Header.Get("Traceparent"))
	})))
	t.Cleanup(last.Close)
	client := &http.Client{Transport: front.Transport("attempt", nil)}
	first := httptest.NewServer(front.Handler("request", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		call, _ := http.NewRequestWithContext(q.Context(), http.MethodGet, last.URL, nil)
		reply, err := client.Do(call)
		if err != nil {
			panic(err)
		}
		defer reply.Body.Close()
		w.Header().Set("Bamboohill-Request", "r1")
		io.Copy(w, reply.Body)
	}), "Bamboohill-Request"))
	t.Cleanup(first.Close)
	return first
}

func get(t *testing.T, url, parent string) string {
	t.Helper()
	is := is.New(t)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	is.NoErr(err)
	if parent != "" {
		q.Header.Set("Traceparent", parent)
	}
	reply, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	is.NoErr(err)
	return string(text)
}

func TestTraceGoesOnOverProcesses(t *testing.T) {
	is := is.New(t)
	got := make(chan export, 10)
	collect := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		var e export
		json.NewDecoder(q.Body).Decode(&e)
		got <- e
	}))
	defer collect.Close()
	at := strings.TrimPrefix(collect.URL, "http://")
	front, err := New(Config{Program: "entry", Exporter: OTLP, Endpoint: at})
	is.NoErr(err)
	behind, err := New(Config{Program: "sidecar", Exporter: OTLP, Endpoint: at})
	is.NoErr(err)
	const parent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"
	passed := get(t, hops(t, front, behind).URL, parent)
	is.NoErr(front.Stop(t.Context()))
	is.NoErr(behind.Stop(t.Context()))
	spans := map[string]span{}
	for range 2 {
		e := <-got
		for _, s := range e.Resources[0].Scopes[0].Spans {
			spans[s.Name] = s
		}
	}
	is.Equal(len(spans), 3)
	is.Equal(spans["request"].Parent, "0123456789abcdef")
	is.Equal(spans["attempt"].Parent, spans["request"].ID)
	is.Equal(spans["gate"].Parent, spans["attempt"].ID)
	is.Equal(passed, "00-0123456789abcdef0123456789abcdef-"+spans["attempt"].ID+"-01")
	for _, s := range spans {
		is.Equal(s.Trace, "0123456789abcdef0123456789abcdef")
	}
}

func TestWithoutExporterTheTraceIsPassedOn(t *testing.T) {
	is := is.New(t)
	none, err := New(Config{})
	is.NoErr(err)
	const parent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"
	is.Equal(get(t, hops(t, none, none).URL, parent), parent)
	is.Equal(get(t, hops(t, none, none).URL, ""), "")
}

func TestStdout(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	both, err := New(Config{Program: "entry", Exporter: Stdout, Sink: &out})
	is.NoErr(err)
	get(t, hops(t, both, both).URL, "")
	is.NoErr(both.Stop(t.Context()))
	is.Equal(strings.Count(out.String(), `"SpanContext"`), 3)
	is.True(strings.Contains(out.String(), "r1"))
}

func TestUnknownExporter(t *testing.T) {
	_, err := New(Config{Exporter: "file"})
	is.New(t).True(err != nil)
	is.New(t).True(!Known("file") && Known("") && Known(OTLP))
}
