package generator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bamboohill/core/drainer"
	"bamboohill/core/verifier"
)

// Bounds of what is read of an engine's answer, which may have no end.
const (
	maxLineBytes   = 1 << 20  // a line of a stream
	maxAnswerBytes = 4 << 20  // the body of any other answer
	maxHeadBytes   = 64 << 10 // the head of an answer
)

// Model is a model that an engine has loaded.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Status is an engine's status report.
type Status struct {
	Boot    uint64  `json:"boot"`   // increases with each start of the engine
	Warm    bool    `json:"warm"`   // false during a cold start
	Memory  int64   `json:"memory"` // capacity of the KV cache in tokens
	Free    int64   `json:"free"`   // free part of the KV cache in tokens
	Running int     `json:"running"`
	Queued  int64   `json:"queued"`  // prefill tokens still to be processed
	Prefill float64 `json:"prefill"` // tokens per second
	Decode  float64 `json:"decode"`  // tokens per second of one stream
	Models  []Model `json:"models"`
	Role    string  `json:"role"`
	Fencing bool    `json:"fencing"` // refuses orders with an outdated fencing token
	Fence   uint64  `json:"fence"`   // highest fencing token received
}

// Job is a generation job.
type Job struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Version   string `json:"version,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    []byte `json:"-"`
	MaxTokens int64  `json:"answer"`   // maximum length of the answer in tokens
	Position  int64  `json:"position"` // first position to return
	Priority  int32  `json:"priority"` // smaller runs first
	Import    string `json:"import,omitempty"`
	// Part and Parts are set for a member of a gang, which holds part Part,
	// counted from 0, of Parts equal parts of the prompt's KV cache.
	Part  int `json:"span,omitempty"`
	Parts int `json:"spans,omitempty"`
}

// Chunk is a part of a job's output stream.
type Chunk struct {
	Job      string   `json:"job"` // id of the job that this is the output of
	Position int64    `json:"position"`
	Texts    []string `json:"texts,omitempty"`
	End      bool     `json:"end,omitempty"`
	Prompt   int64    `json:"prompt,omitempty"` // prompt length in tokens, in the last chunk
	Cached   int64    `json:"cached,omitempty"` // prompt tokens found in the prefix cache, in the last chunk
	Finish   string   `json:"finish,omitempty"`
	Moved    bool     `json:"moved,omitempty"` // the job was exported or cancelled
}

// Allocation is memory that an engine holds for a job or an exported cache.
type Allocation struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	Export bool   `json:"export"`
}

// Order tells an engine which models to load and which role to take.
type Order struct {
	Fence  uint64  `json:"fence"`
	Models []Model `json:"models"`
	Role   string  `json:"role,omitempty"`
}

// Event is a change of an engine's prefix cache.
type Event struct {
	Serial  uint64 `json:"serial"`
	Hash    uint64 `json:"hash"`
	Tokens  int64  `json:"tokens"`
	Removed bool   `json:"removed"`
}

// StatusError is returned if an engine answers with a status other than 200.
type StatusError struct {
	Code int
	Text string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("generator: status %d: %s", e.Code, e.Text)
}

// TooLongError is returned for an answer whose body has no end within Limit bytes.
type TooLongError struct{ Limit int64 }

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("generator: answer longer than %d bytes", e.Limit)
}

// ErrTruncated is returned if a stream ends without its last chunk.
var ErrTruncated = errors.New("generator: stream stopped without an end")

// Config describes a client of an engine.
type Config struct {
	Address string // ip:port
	Client  *http.Client
}

// Engine is a client of an engine.
type Engine struct {
	address string
	client  *http.Client
}

// New returns a client of the engine at Config.Address. A nil Config.Client means
// a client with its own connection pool.
func New(config Config) *Engine {
	if config.Client == nil {
		config.Client = &http.Client{Transport: verifier.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes,
		})}
	}
	return &Engine{address: config.Address, client: config.Client}
}

// Status returns the engine's status report.
func (e *Engine) Status(ctx context.Context) (Status, error) {
	var s Status
	err := e.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Jobs lists the jobs and exported caches for which the engine holds memory.
func (e *Engine) Jobs(ctx context.Context) ([]Allocation, error) {
	var held []Allocation
	err := e.call(ctx, http.MethodGet, "/v1/jobs", nil, &held)
	return held, err
}

// Cancel ends a job and frees its memory. It is no error if the job does not
// exist.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.call(ctx, http.MethodPost, "/v1/cancel?id="+url.QueryEscape(id), nil, nil)
}

// Cache identifies an exported KV cache.
type Cache struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
}

// Export stops a job and stores its KV cache until Drop is called.
func (e *Engine) Export(ctx context.Context, id string) (Cache, error) {
	var cache Cache
	err := e.call(ctx, http.MethodPost, "/v1/export?id="+url.QueryEscape(id), nil, &cache)
	return cache, err
}

// Import fetches a cache that another engine has exported, for a job whose field
// Import names it. The cache occupies memory until that job starts or Drop is
// called.
func (e *Engine) Import(ctx context.Context, cache Cache) error {
	query := url.Values{"handle": {cache.Handle}, "tokens": {strconv.FormatInt(cache.Tokens, 10)}}
	return e.call(ctx, http.MethodPost, "/v1/import?"+query.Encode(), nil, nil)
}

// Drop frees an exported cache.
func (e *Engine) Drop(ctx context.Context, handle string) error {
	return e.call(ctx, http.MethodPost, "/v1/drop?handle="+url.QueryEscape(handle), nil, nil)
}

// Order sends an order to the engine.
func (e *Engine) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return e.call(ctx, http.MethodPost, "/v1/order", body, nil)
}

// Events returns the prefix cache events after a serial number.
func (e *Engine) Events(ctx context.Context, after uint64) ([]Event, error) {
	var events []Event
	err := e.call(ctx, http.MethodGet, "/v1/events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// call sends a request and decodes the JSON answer into a variable; if that is
// nil, it discards the answer.
func (e *Engine) call(ctx context.Context, method, path string, body []byte, into any) error {
	r, err := e.do(ctx, method, path, "", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer r.Body.Close()
	limited := &io.LimitedReader{R: r.Body, N: maxAnswerBytes + 1}
	if into == nil {
		_, err = io.Copy(io.Discard, limited)
	} else {
		err = json.NewDecoder(limited).Decode(into)
	}
	if limited.N <= 0 {
		return &TooLongError{Limit: maxAnswerBytes}
	}
	return err
}

// do sends a request, with the job in a header unless it is empty. An answer with
// a status other than 200 is returned as a *StatusError.
func (e *Engine) do(ctx context.Context, method, path, job string, body io.Reader) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+path, body)
	if err != nil {
		return nil, err
	}
	if job != "" {
		q.Header.Set("Job", job)
	}
	r, err := e.client.Do(q)
	if err != nil {
		return nil, err
	}
	if r.StatusCode == http.StatusOK {
		return r, nil
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(r.Body, 1024))
	return nil, &StatusError{Code: r.StatusCode, Text: string(bytes.TrimSpace(text))}
}

// Generate starts a job. The prompt is the body of the request; a header holds
// the rest of the job. The engine frees the job's memory when the context ends.
func (e *Engine) Generate(ctx context.Context, job Job) (*Stream, error) {
	header, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	r, err := e.do(ctx, http.MethodPost, "/v1/generate", string(header), bytes.NewReader(job.Prompt)) //nolint:bodyclose // Stream.Close does it.
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, maxLineBytes)
	return &Stream{body: r.Body, lines: lines}, nil
}

// Stream is the output of a job.
type Stream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	ended bool
}

// Next returns the next chunk. It returns ErrTruncated if the stream ends without
// its last chunk.
func (s *Stream) Next() (Chunk, error) {
	if !s.lines.Scan() {
		return Chunk{}, ErrTruncated
	}
	var c Chunk
	err := json.Unmarshal(s.lines.Bytes(), &c)
	s.ended = s.ended || c.End || c.Moved
	return c, err
}

// Close closes the stream. If the last chunk has been read, the connection may be
// reused; otherwise it is closed, which cancels the job.
func (s *Stream) Close() error {
	if s.ended {
		return drainer.Close(s.body)
	}
	return s.body.Close()
}
