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
)

// maxLine is the longest line of an engine's stream, in bytes.
const maxLine = 1 << 20

// Model is one model that an engine has loaded.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Status is an engine's own report.
type Status struct {
	Boot    uint64  `json:"boot"`   // rises with each start of the engine
	Warm    bool    `json:"warm"`   // false in a cold start
	Memory  int64   `json:"memory"` // tokens of KV cache
	Free    int64   `json:"free"`   // tokens
	Running int     `json:"running"`
	Queued  int64   `json:"queued"`  // prefill tokens not yet done
	Prefill float64 `json:"prefill"` // tokens a second
	Decode  float64 `json:"decode"`  // tokens a second of one stream
	Models  []Model `json:"models"`
	Role    string  `json:"role"`
	Fencing bool    `json:"fencing"` // refuses orders with an old number
	Fence   uint64  `json:"fence"`   // highest number seen
}

// Job is one piece of work.
type Job struct {
	ID       string `json:"id"`
	Model    string `json:"model"`
	Version  string `json:"version,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Prompt   []byte `json:"-"`
	Answer   int64  `json:"answer"`   // most tokens
	Position int64  `json:"position"` // first position wanted
	Priority int32  `json:"priority"` // smaller runs first
	Import   string `json:"import,omitempty"`
	// Span and Spans are set for a member of a gang: it holds part Span, from
	// 0, of Spans equal parts of the prompt's cache.
	Span  int `json:"span,omitempty"`
	Spans int `json:"spans,omitempty"`
}

// Chunk is one piece of a stream.
type Chunk struct {
	Job      string   `json:"job"` // whose output this is
	Position int64    `json:"position"`
	Texts    []string `json:"texts,omitempty"`
	End      bool     `json:"end,omitempty"`
	Prompt   int64    `json:"prompt,omitempty"` // prompt tokens, at the end
	Cached   int64    `json:"cached,omitempty"`
	Finish   string   `json:"finish,omitempty"`
	Moved    bool     `json:"moved,omitempty"` // exported or cancelled
}

// Held is memory that an engine holds for a job or an exported cache.
type Held struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	Export bool   `json:"export"`
}

// Order tells an engine what to load and which role to take.
type Order struct {
	Fence  uint64  `json:"fence"`
	Models []Model `json:"models"`
	Role   string  `json:"role,omitempty"`
}

// Event is one change of an engine's prefix cache.
type Event struct {
	Serial  uint64 `json:"serial"`
	Hash    uint64 `json:"hash"`
	Tokens  int64  `json:"tokens"`
	Removed bool   `json:"removed"`
}

// StatusError is an engine's refusal of a call.
type StatusError struct {
	Code int
	Text string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("generator: status %d: %s", e.Code, e.Text)
}

// ErrTruncated is returned when a stream stops without its end.
var ErrTruncated = errors.New("generator: stream stopped without an end")

// Config describes a client of one engine.
type Config struct {
	Address string // ip:port
	Client  *http.Client
}

// Engine is a client of one engine.
type Engine struct {
	address string
	client  *http.Client
}

// New returns a client.
func New(config Config) *Engine {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	}
	return &Engine{address: config.Address, client: config.Client}
}

// Status asks for the engine's report.
func (e *Engine) Status(ctx context.Context) (Status, error) {
	var s Status
	err := e.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Jobs lists what the engine holds memory for.
func (e *Engine) Jobs(ctx context.Context) ([]Held, error) {
	var held []Held
	err := e.call(ctx, http.MethodGet, "/v1/jobs", nil, &held)
	return held, err
}

// Cancel ends a job and frees its memory. A job that is not there is no error.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.call(ctx, http.MethodPost, "/v1/cancel?id="+url.QueryEscape(id), nil, nil)
}

// Cache names an exported cache.
type Cache struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
}

// Export stops a job and stores its cache until it is dropped.
func (e *Engine) Export(ctx context.Context, id string) (Cache, error) {
	var cache Cache
	err := e.call(ctx, http.MethodPost, "/v1/export?id="+url.QueryEscape(id), nil, &cache)
	return cache, err
}

// Import fetches a cache that another engine exported, for a job whose Import
// names it. It holds memory until that job starts or it is dropped.
func (e *Engine) Import(ctx context.Context, cache Cache) error {
	query := url.Values{"handle": {cache.Handle}, "tokens": {strconv.FormatInt(cache.Tokens, 10)}}
	return e.call(ctx, http.MethodPost, "/v1/import?"+query.Encode(), nil, nil)
}

// Drop frees an exported cache.
func (e *Engine) Drop(ctx context.Context, handle string) error {
	return e.call(ctx, http.MethodPost, "/v1/drop?handle="+url.QueryEscape(handle), nil, nil)
}

// Order gives an order.
func (e *Engine) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return e.call(ctx, http.MethodPost, "/v1/order", body, nil)
}

// Events returns the cache events after a serial number.
func (e *Engine) Events(ctx context.Context, after uint64) ([]Event, error) {
	var events []Event
	err := e.call(ctx, http.MethodGet, "/v1/events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

func (e *Engine) call(ctx context.Context, method, path string, body []byte, into any) error {
	r, err := e.do(ctx, method, path, "", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if into == nil {
		_, err = io.Copy(io.Discard, r.Body)
		return err
	}
	return json.NewDecoder(r.Body).Decode(into)
}

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

// Generate starts a job. The prompt is the request's body, the rest of the job
// stands in a header. The engine frees the job's memory when the context ends.
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
	lines.Buffer(nil, maxLine)
	return &Stream{body: r.Body, lines: lines}, nil
}

// Stream is a job's output.
type Stream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	ended bool
}

// Next returns the next chunk. A stream that stops without its end is
// ErrTruncated.
func (s *Stream) Next() (Chunk, error) {
	if !s.lines.Scan() {
		return Chunk{}, ErrTruncated
	}
	var c Chunk
	err := json.Unmarshal(s.lines.Bytes(), &c)
	s.ended = s.ended || c.End || c.Moved
	return c, err
}

// Close ends a stream that has had its end, and gives up any other.
func (s *Stream) Close() error {
	if s.ended {
		return drainer.Close(s.body)
	}
	return s.body.Close()
}
