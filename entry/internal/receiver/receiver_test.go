package receiver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboohill/core/keeper"
	"bamboohill/core/storer"
	"bamboohill/entry/internal/dispatcher"
	"bamboohill/wire"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// fakeDispatcher is a Dispatcher made of one function.
type fakeDispatcher func(context.Context, *dispatcher.Request, dispatcher.Sink) dispatcher.Result

func (f fakeDispatcher) Do(ctx context.Context, q *dispatcher.Request, sink dispatcher.Sink) dispatcher.Result {
	return f(ctx, q, sink)
}

// echo answers with the prompt, as one token.
func echo(_ context.Context, q *dispatcher.Request, sink dispatcher.Sink) dispatcher.Result {
	sink.Tokens([]string{string(q.Payload)})
	return dispatcher.Result{Outcome: wire.Outcome_OUTCOME_ANSWERED, End: &wire.End{Length: 1, Prompt: 1, Finish: "stop"}}
}

const callerKey = "crew-key"

// table is a table service without rows.
type table struct{ storer.Table }

func (table) Get(_ context.Context, key string) (storer.Row, error) { return storer.Row{Key: key}, nil }

func newKeeper(t *testing.T) *keeper.Keeper {
	t.Helper()
	k := keeper.New(keeper.Config{Table: table{}})
	t.Cleanup(k.Stop)
	is.New(t).NoErr(k.Refresh(t.Context()))
	hash := sha256.Sum256([]byte(callerKey))
	plan := &wire.Plan{Name: "crew", Offers: []*wire.Offer{{Model: "base"}}}
	other := &wire.Plan{Name: "other", Offers: []*wire.Offer{{Model: "survey"}}}
	account := &wire.Account{Name: "koro", Plan: "crew", Keys: [][]byte{hash[:]}}
	rows := []*wire.Row{
		{Key: "plan/crew", Version: 1, Record: &wire.Record{Value: &wire.Record_Plan{Plan: plan}}},
		{Key: "plan/other", Version: 1, Record: &wire.Record{Value: &wire.Record_Plan{Plan: other}}},
		{Key: "account/koro", Version: 1, Record: &wire.Record{Value: &wire.Record_Account{Account: account}}},
	}
	k.ApplyBatch(t.Context(), &wire.Batch{Snapshot: &wire.Snapshot{Sequence: 3, Rows: rows}})
	return k
}

// testServer is a receiver behind a TCP listener.
type testServer struct {
	*Receiver
	address string
	open    *ConnectionLimiter
}

func serve(t *testing.T, config Config, connections int) *testServer {
	t.Helper()
	config.Keeper = newKeeper(t)
	config.Log = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	config.DefaultTimeout = 10 * time.Second
	if config.MaxMemory == 0 {
		config.MaxMemory = 64 << 20
	}
	config.MaxBody = 16 << 20
	r := New(config)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	web := &http.Server{Handler: r.Handler(), ErrorLog: config.Log.Std("", 0)}
	p := &testServer{Receiver: r, address: listener.Addr().String(), open: LimitConnections(web, connections)}
	go web.Serve(listener)
	t.Cleanup(func() { web.Close() })
	return p
}

// waitInUse waits until bodies take n bytes, and reports whether they do within
// 5 s.
func (p *testServer) waitInUse(n int64) bool {
	for range 5000 {
		if p.bodies.inUse() == n {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// post sends a body and returns the status, the code of the error and the
// headers of the response.
func (p *testServer) post(t *testing.T, path, body string, headers ...string) (int, string, http.Header) {
	t.Helper()
	q, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.address+path, strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(q)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	var e envelope
	json.NewDecoder(response.Body).Decode(&e)
	if e.Error == nil {
		return response.StatusCode, "", response.Header
	}
	return response.StatusCode, e.Error.Code, response.Header
}

func TestBadInput(t *testing.T) {
	p := serve(t, Config{Dispatcher: fakeDispatcher(echo)}, 100)
	deep := `{"model":"base","prompt":"a","x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}"
	cases := map[string]struct {
		body   string
		status int
		code   string
	}{
		"no body":             {"", 400, "bad_json"},
		"broken":              {`{"model":`, 400, "bad_json"},
		"not an object":       {`[]`, 400, "bad_type"},
		"deep":                {deep, 400, "bad_json"},
		"not utf-8":           {"{\"model\":\"base\",\"prompt\":\"\xff\"}", 400, "bad_json"},
		"model is a number":   {`{"model":1,"prompt":"a"}`, 400, "bad_type"},
		"no model":            {`{"prompt":"a"}`, 400, "no_model"},
		"model of no plan":    {`{"model":"none","prompt":"a"}`, 404, "unknown_model"},
		"model of other plan": {`{"model":"survey","prompt":"a"}`, 403, "model_not_allowed"},
		"huge max_tokens":     {`{"model":"base","prompt":"a","max_tokens":1e400}`, 400, "bad_type"},
		"long max_tokens":     {`{"model":"base","prompt":"a","max_tokens":100001}`, 400, "bad_max_tokens"},
		"negative max_tokens": {`{"model":"base","prompt":"a","max_tokens":-1}`, 400, "bad_max_tokens"},
		"no prompt":           {`{"model":"base"}`, 400, "bad_prompt"},
		"null prompt":         {`{"model":"base","prompt":null}`, 400, "bad_prompt"},
		"empty prompt":        {`{"model":"base","prompt":""}`, 400, "no_prompt"},
		"negative token":      {`{"model":"base","prompt":[1,-2]}`, 400, "bad_prompt"},
		"huge token":          {`{"model":"base","prompt":[4294967296]}`, 400, "bad_prompt"},
		"nested tokens":       {`{"model":"base","prompt":[[1]]}`, 400, "bad_prompt"},
		"n":                   {`{"model":"base","prompt":"a","n":2}`, 400, "unsupported_field"},
		"negative n":          {`{"model":"base","prompt":"a","n":-2}`, 400, "bad_n"},
		"stop":                {`{"model":"base","prompt":"a","stop":["b"]}`, 400, "unsupported_field"},
		"temperature":         {`{"model":"base","prompt":"a","temperature":3}`, 400, "bad_temperature"},
		"options, no stream":  {`{"model":"base","prompt":"a","stream_options":{}}`, 400, "bad_stream_options"},
		"allowed extras":      {`{"model":"base","prompt":"a","n":1,"stop":null,"temperature":0.5,"user":"u","unknown":{"a":[1]}}`, 200, ""},
		"tokens":              {`{"model":"base","prompt":[1, 2 ,4294967295]}`, 200, ""},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, code, header := p.post(t, "/v1/completions", k.body)
			is.Equal(status, k.status)
			is.Equal(code, k.code)
			is.True(header.Get(RequestHeader) != "")
			if k.status != 200 {
				is.Equal(header.Get(OutcomeHeader), NotRun)
				is.True(header.Get("Retry-After") != "")
			}
			is.Equal(p.bodies.inUse(), int64(0)) // nothing leaked
		})
	}
}

func TestBadChat(t *testing.T) {
	p := serve(t, Config{Dispatcher: fakeDispatcher(echo)}, 100)
	cases := map[string]struct {
		body string
		code string
	}{
		"no messages":        {`{"model":"base"}`, "no_messages"},
		"content is a list":  {`{"model":"base","messages":[{"role":"user","content":["a"]}]}`, "bad_type"},
		"messages is a text": {`{"model":"base","messages":"a"}`, "bad_type"},
		"right":              {`{"model":"base","messages":[{"content":"a\n","role":"user"}]}`, ""},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			_, code, _ := p.post(t, "/v1/chat/completions", k.body)
			is.New(t).Equal(code, k.code)
		})
	}
}

func TestBadTimeout(t *testing.T) {
	p := serve(t, Config{Dispatcher: fakeDispatcher(echo)}, 100)
	for _, text := range []string{"0", "-1", "NaN", "Inf", "1e9", "soon"} {
		_, code, _ := p.post(t, "/v1/completions", `{"model":"base","prompt":"a"}`, TimeoutHeader, text)
		is.New(t).Equal(code, "bad_timeout")
	}
}

func TestRevokedKey(t *testing.T) {
	is := is.New(t)
	p := serve(t, Config{Dispatcher: fakeDispatcher(echo)}, 100)
	good := `{"model":"base","prompt":"a"}`
	status, _, _ := p.post(t, "/v1/completions", good)
	is.Equal(status, http.StatusOK)
	account := &wire.Account{Name: "koro", Plan: "crew"}
	p.config.Keeper.ApplyBatch(t.Context(), &wire.Batch{Changes: []*wire.Change{
		{Sequence: 4, Key: "account/koro", Version: 2, Record: &wire.Record{Value: &wire.Record_Account{Account: account}}},
	}})
	status, code, _ := p.post(t, "/v1/completions", good)
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(code, "bad_key")
}

// raw opens a connection and writes to it.
func (p *testServer) raw(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { conn.Close() })
	io.WriteString(conn, text)
	return conn
}

func head(lines ...string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + callerKey + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// status reads the status line of an answer.
func status(conn net.Conn) string {
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	line := make([]byte, len("HTTP/1.1 400"))
	io.ReadFull(conn, line)
	return string(line[len("HTTP/1.1 "):])
}

func TestBrokenHTTP(t *testing.T) {
	p := serve(t, Config{Dispatcher: fakeDispatcher(echo), StallTimeout: 50 * time.Millisecond}, 100)
	cases := map[string]struct{ text, status string }{
		"two lengths":             {head("Content-Length: 2", "Content-Length: 3") + "{} ", "400"},
		"negative length":         {head("Content-Length: -1"), "400"},
		"header of 1 MB":          {head("Long: " + strings.Repeat("a", 1<<20)), "431"},
		"announced too large":     {head("Content-Length: 99999999999"), "413"},
		"body stops":              {head("Content-Length: 100") + "{", "408"},
		"unknown key, body stops": {strings.Replace(head("Content-Length: 100"), callerKey, "nobody", 1) + "{", "401"},
		"chunks stop":             {head("Transfer-Encoding: chunked") + "5\r\n{", "408"},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(status(p.raw(t, k.text)), k.status)
			is.Equal(p.bodies.inUse(), int64(0))
		})
	}
}

// TestMemoryFollowsBytesRead checks that a body takes memory only as its bytes
// arrive, whether its length is announced or not.
func TestMemoryFollowsBytesRead(t *testing.T) {
	is := is.New(t)
	p := serve(t, Config{Dispatcher: fakeDispatcher(echo), MaxMemory: 1 << 20, StallTimeout: 5 * time.Second}, 100)
	for range 4 {
		p.raw(t, head("Content-Length: 16000000")+"{")
		p.raw(t, head("Transfer-Encoding: chunked")+"1\r\n{\r\n")
	}
	is.True(p.waitInUse(8 * initialBuffer))
	got, _, _ := p.post(t, "/v1/completions", `{"model":"base","prompt":"a"}`)
	is.Equal(got, http.StatusOK)
}

func TestMemoryLimit(t *testing.T) {
	is := is.New(t)
	p := serve(t, Config{Dispatcher: fakeDispatcher(echo), MaxMemory: 1 << 20}, 100)
	long := fmt.Sprintf(`{"model":"base","prompt":%q}`, strings.Repeat("a", 2<<20))
	got, code, header := p.post(t, "/v1/completions", long)
	is.Equal(got, http.StatusServiceUnavailable)
	is.Equal(code, "entry_memory")
	is.Equal(header.Get(OutcomeHeader), NotRun)
	is.Equal(p.bodies.inUse(), int64(0))
}

// TestPromptSharesBodyMemory checks that a prompt of a million tokens is in
// memory only once, as a part of the body.
func TestPromptSharesBodyMemory(t *testing.T) {
	is := is.New(t)
	data := []byte(fmt.Sprintf(`{"model":"base","prompt":"%s\n%s"}`, strings.Repeat("a", 1<<20), strings.Repeat("b", 1<<20)))
	reserved := &reservation{budget: &budget{limit: 1 << 30}}
	p, f := parse(data, false, reserved)
	is.Equal(f, nil)
	is.Equal(len(p.prompt), 2<<20+1)
	is.Equal(reserved.bytes, int64(0))
	is.True(&p.prompt[0] == &data[bytes.IndexByte(data, 'p')+len(`prompt":"`)])
}

func TestSlowReaderIsAborted(t *testing.T) {
	ended := make(chan struct{})
	p := serve(t, Config{Dispatcher: fakeDispatcher(func(ctx context.Context, _ *dispatcher.Request, sink dispatcher.Sink) dispatcher.Result {
		defer close(ended)
		piece := []string{strings.Repeat("a", 1<<16)}
		for sink.Tokens(piece) == nil {
		}
		return dispatcher.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	})}, 100)
	body := `{"model":"base","prompt":"a","stream":true}`
	p.raw(t, head(TimeoutHeader+": 0.1", fmt.Sprintf("Content-Length: %d", len(body)))+body)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the response to a caller that does not read was not aborted")
	}
}

func TestDisconnectCancelsRequest(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	p := serve(t, Config{Dispatcher: fakeDispatcher(func(ctx context.Context, _ *dispatcher.Request, sink dispatcher.Sink) dispatcher.Result {
		sink.Tokens([]string{"a"})
		close(started)
		<-ctx.Done()
		close(ended)
		return dispatcher.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	})}, 100)
	body := `{"model":"base","prompt":"a","stream":true}`
	conn := p.raw(t, head(fmt.Sprintf("Content-Length: %d", len(body)))+body)
	<-started
	conn.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request was not canceled after its caller disconnected")
	}
	is.True(p.waitInUse(0))
}

func TestIdleConnectionsAreClosedAtLimit(t *testing.T) {
	is := is.New(t)
	const limit = 8
	p := serve(t, Config{Dispatcher: fakeDispatcher(echo)}, limit)
	for range 10 * limit {
		p.raw(t, "")
	}
	status, _, _ := p.post(t, "/v1/completions", `{"model":"base","prompt":"a"}`)
	is.Equal(status, http.StatusOK)
	open, closed := p.open.Count()
	is.True(open <= limit)
	is.True(closed >= 9*limit)
}

func TestVars(t *testing.T) {
	is := is.New(t)
	outcome := wire.Outcome_OUTCOME_NOT_RUN
	p := serve(t, Config{Dispatcher: fakeDispatcher(func(ctx context.Context, q *dispatcher.Request, sink dispatcher.Sink) dispatcher.Result {
		if q.Job.Answer == 1 {
			return dispatcher.Result{Outcome: outcome, Reason: wire.Reason_REASON_FULL, Attempts: 3}
		}
		return echo(ctx, q, sink)
	})}, 100)
	p.post(t, "/v1/completions", `{"model":"base","prompt":"a"}`)
	p.post(t, "/v1/completions", `{"model":"base","prompt":"a","max_tokens":1}`)
	p.post(t, "/v1/completions", `{"model":"none","prompt":"a"}`)
	v := p.Vars()
	is.Equal(v["requests"].String(), `{"OUTCOME_ANSWERED": 1, "OUTCOME_NOT_RUN": 1}`)
	is.Equal(v["attempts"].String(), "3")
	is.Equal(v["reasons"].String(), `{"REASON_FULL": 1}`)
	is.Equal(v["refusals"].String(), `{"unknown_model": 1}`)
	is.Equal(v["body_bytes"].String(), "0")
}
