// Package caller sends a planned request as a client account would and verifies
// the answer.
//
// # Usage
//
//	c := caller.New(caller.Config{Settings: s, Planner: p})
//	result := c.Do(ctx, request)
//
// The stand-in engine's answer is a function of the prompt, so every answer can
// be compared with the expected one.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bamboohill/core/synthesizer"
	"bamboohill/load/internal/planner"
	"bamboohill/load/internal/settings"
)

// Outcome is the result of a request from the caller's point of view.
type Outcome string

// Outcomes. Unknown includes every answer that ended with an error or a broken
// connection. Truncated is an incomplete answer that ended normally, Wrong an
// answer with another text than expected.
const (
	Answered  Outcome = "answered"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
	Wrong     Outcome = "wrong"
	Truncated Outcome = "truncated"
)

// Outcomes lists all outcomes in the order in which reports show them.
var Outcomes = []Outcome{Answered, NotRun, Unknown, Wrong, Truncated}

// Header names and values of the callers' HTTP interface.
const (
	outcomeHeader = "Bamboohill-Outcome"
	requestHeader = "Bamboohill-Request"
	timeoutHeader = "Bamboohill-Timeout"
	keyHeader     = "Idempotency-Key"
	notRun        = "not-run"
)

// Result is the outcome of one request with its measurements.
type Result struct {
	Request    planner.Request
	Outcome    Outcome
	ID         string          // request identifier of the last try, assigned by the entry
	Status     int             // HTTP status of the last try, 0 without a response
	Code       string          // error code of the response or of the failed call
	RetryAfter time.Duration   // delay that the last refusal requested, from Retry-After
	Tries      int             // number of calls sent
	FirstToken time.Duration   // from the start of the last try to its first token or byte
	Total      time.Duration   // from the start of the first try to the end
	Gaps       []time.Duration // between the text events of a stream
	Body       []byte          // of the response to a booking
}

// Config configures a Caller. A nil Client selects one with a connection pool for each entry.
type Config struct {
	Settings settings.Settings
	Planner  *planner.Planner
	Client   *http.Client
}

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	settings settings.Settings
	planner  *planner.Planner
	client   *http.Client
}

// idlePerHost limits the idle connections to one entry.
const idlePerHost = 512

// New returns a caller.
func New(config Config) *Caller {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}}
	}
	return &Caller{settings: config.Settings, planner: config.Planner, client: config.Client}
}

// responseGrace is how long after its timeout a caller still waits for the entry's response.
const responseGrace = 2 * time.Second

// alreadySent is the error code for a call whose idempotency key belongs to a
// call that is still running. It is safe to retry: a later call with the key
// returns the stored answer.
const alreadySent = "already_sent"

// Do sends a request. Up to Settings.Retries times it retries a call that was
// refused as not-run with a 5xx status or as already sent, after the delay of
// Retry-After, if that ends before the timeout.
func (c *Caller) Do(ctx context.Context, r planner.Request) Result {
	limit := time.Duration(c.settings.Timeout) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit+responseGrace)
	defer cancel()
	start := time.Now()
	tries := 0
	for {
		tries++
		result := c.try(ctx, r, limit-time.Since(start))
		result.Request, result.Tries, result.Total = r, tries, time.Since(start)
		remaining := limit - time.Since(start) - result.RetryAfter
		if !result.resendable() || tries > c.settings.Retries || remaining <= 0 {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-time.After(result.RetryAfter):
		}
	}
}

// resendable reports whether the same call may be retried.
func (r *Result) resendable() bool {
	return r.Outcome == NotRun && r.Status >= http.StatusInternalServerError || r.Code == alreadySent
}

func (c *Caller) try(ctx context.Context, r planner.Request, timeout time.Duration) Result {
	start := time.Now()
	q, seed, err := c.build(ctx, r)
	if err != nil {
		return Result{Outcome: NotRun, Code: err.Error()}
	}
	q.Header.Set("Authorization", "Bearer "+c.settings.Accounts[r.Account].Key)
	q.Header.Set(timeoutHeader, strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	response, err := c.client.Do(q)
	if err != nil {
		return Result{Outcome: Unknown, Code: failureCode(err)}
	}
	defer response.Body.Close()
	result := Result{Status: response.StatusCode, ID: response.Header.Get(requestHeader)}
	switch {
	case response.StatusCode != http.StatusOK:
		result.readRefusal(response)
	case r.Kind == planner.Booking:
		result.readBooking(response, r, start)
	case r.Stream:
		result.readStream(response.Body, expectation{seed: seed, answer: r.Answer}, start)
	default:
		result.readWhole(response.Body, expectation{seed: seed, answer: r.Answer}, start)
	}
	return result
}

// failureCode returns the code recorded for a call without a complete response.
func failureCode(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "client_timeout"
	}
	return "connection"
}

// build returns the HTTP request and the seed of the expected answer.
func (c *Caller) build(ctx context.Context, r planner.Request) (*http.Request, uint64, error) {
	address := "http://" + c.settings.Entries[r.Entry%len(c.settings.Entries)]
	if r.Kind == planner.Booking {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/services/"+c.settings.Service+"/book", bytes.NewReader(BookingBody(r)))
		if err != nil {
			return nil, 0, err
		}
		q.Header.Set("Content-Type", "application/json")
		q.Header.Set(keyHeader, r.Key)
		return q, 0, nil
	}
	prompt := c.planner.Prompt(r)
	path, body := c.promptBody(r, prompt)
	if r.Chat {
		prompt = append(append([]byte("user: "), prompt...), '\n')
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, address+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	return q, synthesizer.Seed(prompt), nil
}

// promptBody returns the path and the JSON body of a prompt, whose text needs
// no escaping.
func (c *Caller) promptBody(r planner.Request, prompt []byte) (string, []byte) {
	var body bytes.Buffer
	body.Grow(len(prompt) + 256)
	body.WriteString(`{"model":` + strconv.Quote(c.settings.Model) + `,"max_tokens":` + strconv.FormatInt(r.Answer, 10) + `,"stream":` + strconv.FormatBool(r.Stream))
	path := "/v1/completions"
	if r.Chat {
		path = "/v1/chat/completions"
		body.WriteString(`,"messages":[{"role":"user","content":"`)
		body.Write(prompt)
		body.WriteString(`"}]}`)
		return path, body.Bytes()
	}
	body.WriteString(`,"prompt":"`)
	body.Write(prompt)
	body.WriteString(`"}`)
	return path, body.Bytes()
}

// BookingBody returns the JSON body of a booking.
func BookingBody(r planner.Request) []byte {
	return []byte(`{"crew":"crew` + strconv.Itoa(r.Account) + `","serial":` + strconv.Itoa(r.Serial) + `}`)
}

// errorBody is the body of an error response.
type errorBody struct {
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// maxBodyBytes limits the size of an error or booking response, in bytes.
const maxBodyBytes = 64 << 10

func (r *Result) readRefusal(response *http.Response) {
	r.Outcome = Unknown
	if response.Header.Get(outcomeHeader) == notRun {
		r.Outcome = NotRun
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	var f errorBody
	if json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&f) == nil && f.Error != nil {
		r.Code = f.Error.Code
	}
}

func (r *Result) readBooking(response *http.Response, q planner.Request, start time.Time) {
	r.FirstToken = time.Since(start)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		r.Outcome, r.Code = Unknown, failureCode(err)
		return
	}
	r.Body = body
	var answer struct {
		Booking string `json:"booking"`
		Bytes   int    `json:"bytes"`
	}
	r.Outcome = Answered
	switch {
	case json.Unmarshal(body, &answer) != nil:
		r.Outcome = Truncated
	case answer.Booking != q.Key || answer.Bytes != len(BookingBody(q)):
		r.Outcome = Wrong
	}
}
