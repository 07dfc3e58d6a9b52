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

// hops starts a server that forwards each request to a second one, and returns
// the first.
func hops(t *testing.T, first, second *Tracer) *httptest.Server {
	t.Helper()
	backend := httptest.NewServer(second.Handler("gate", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.WriteString(w, q.Header.Get("Traceparent"))
	})))
	t.Cleanup(backend.Close)
	client := &http.Client{Transport: first.Transport("attempt", nil)}
	frontend := httptest.NewServer(first.Handler("request", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		call, _ := http.NewRequestWithContext(q.Context(), http.MethodGet, backend.URL, nil)
		response, err := client.Do(call)
		if err != nil {
			panic(err)
		}
		defer response.Body.Close()
		w.Header().Set("Bamboohill-Request", "r1")
		io.Copy(w, response.Body)
	}), "Bamboohill-Request"))
	t.Cleanup(frontend.Close)
	return frontend
}

func get(t *testing.T, url, parent string) string {
	t.Helper()
	is := is.New(t)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	is.NoErr(err)
	if parent != "" {
		q.Header.Set("Traceparent", parent)
	}
	response, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return string(text)
}

func TestTracePropagatesBetweenProcesses(t *testing.T) {
	is := is.New(t)
	exports := make(chan export, 10)
	collect := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		var e export
		json.NewDecoder(q.Body).Decode(&e)
		exports <- e
	}))
	defer collect.Close()
	endpoint := strings.TrimPrefix(collect.URL, "http://")
	first, err := New(Config{Program: "entry", Exporter: OTLP, Endpoint: endpoint})
	is.NoErr(err)
	second, err := New(Config{Program: "sidecar", Exporter: OTLP, Endpoint: endpoint})
	is.NoErr(err)
	const parent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"
	traceparent := get(t, hops(t, first, second).URL, parent)
	is.NoErr(first.Stop(t.Context()))
	is.NoErr(second.Stop(t.Context()))
	spans := map[string]span{}
	for range 2 {
		e := <-exports
		for _, s := range e.Resources[0].Scopes[0].Spans {
			spans[s.Name] = s
		}
	}
	is.Equal(len(spans), 3)
	is.Equal(spans["request"].Parent, "0123456789abcdef")
	is.Equal(spans["attempt"].Parent, spans["request"].ID)
	is.Equal(spans["gate"].Parent, spans["attempt"].ID)
	is.Equal(traceparent, "00-0123456789abcdef0123456789abcdef-"+spans["attempt"].ID+"-01")
	for _, s := range spans {
		is.Equal(s.Trace, "0123456789abcdef0123456789abcdef")
	}
}

func TestTracePropagatesWithoutExporter(t *testing.T) {
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
	is.New(t).True(!ValidExporter("file") && ValidExporter("") && ValidExporter(OTLP))
}
