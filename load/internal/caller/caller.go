// Package caller sends one planned request as a client account would and
// checks the answer against what was asked.
//
// # Usage
//
//	c := caller.New(caller.Config{Settings: s, Planner: p})
//	result := c.Do(ctx, request)
//
// The stand-in's answer to a prompt is a function of the prompt, so every
// answer is compared with the one that is due.
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

// Outcome is what became of a request, as its caller sees it.
type Outcome string

// Outcomes. Unknown includes every answer that broke off visibly; Truncated is
// an answer that claims to be whole and is not, Wrong one that holds another
// text than is due.
const (
	Answered  Outcome = "answered"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
	Wrong     Outcome = "wrong"
	Truncated Outcome = "truncated"
)

// Outcomes lists all outcomes in the order of reports.
var Outcomes = []Outcome{Answered, NotRun, Unknown, Wrong, Truncated}

// Headers of the callers' interface.
const (
	outcomeHeader = "Bamboohill-Outcome"
	requestHeader = "Bamboohill-Request"
	timeoutHeader = "Bamboohill-Timeout"
	keyHeader     = "Idempotency-Key"
	notRun        = "not-run"
)

// Result is what became of one request.
type Result struct {
	Request planner.Request
	Outcome Outcome
	ID      string          // the system's name of the last try
	Status  int             // of the last try, 0 if none came
	Code    string          // of the error object
	Retry   time.Duration   // by the last refusal
	Tries   int             // sent
	First   time.Duration   // from sending the last try to its first token or byte
	Total   time.Duration   // from the first try to the end
	Gaps    []time.Duration // between the events of a stream
	Body    []byte          // of a booking's answer
}

// Config describes a Caller. Client may be nil.
type Config struct {
	Settings settings.Settings
	Planner  *planner.Planner
	Client   *http.Client
}

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	set     settings.Settings
	planner *planner.Planner
	client  *http.Client
}

// idlePerHost bounds the idle connections to one entry.
const idlePerHost = 512

// New returns a caller.
func New(config Config) *Caller {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}}
	}
	return &Caller{set: config.Settings, planner: config.Planner, client: config.Client}
}

// grace is how much longer than its timeout a caller waits for the final word.
const grace = 2 * time.Second

// alreadySent is the code of a call whose key another call holds that has not
// ended. Sent again it gets the stored answer, so that is safe.
const alreadySent = "already_sent"

// Do sends a request and, if the settings ask for it, sends it again after a
// refusal that says not-run or already sent, when Retry-After has passed and
// time is left.
func (c *Caller) Do(ctx context.Context, r planner.Request) Result {
	limit := time.Duration(c.set.Timeout) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit+grace)
	defer cancel()
	start := time.Now()
	tries := 0
	for {
		tries++
		result := c.try(ctx, r, limit-time.Since(start))
		result.Request, result.Tries, result.Total = r, tries, time.Since(start)
		left := limit - time.Since(start) - result.Retry
		if !result.again() || tries > c.set.Retries || left <= 0 {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-time.After(result.Retry):
		}
	}
}

// again reports whether the same call may be sent again.
func (r *Result) again() bool {
	return r.Outcome == NotRun && r.Status >= http.StatusInternalServerError || r.Code == alreadySent
}

func (c *Caller) try(ctx context.Context, r planner.Request, left time.Duration) Result {
	start := time.Now()
	q, seed, err := c.build(ctx, r)
	if err != nil {
		return Result{Outcome: NotRun, Code: err.Error()}
	}
	q.Header.Set("Authorization", "Bearer "+c.set.Accounts[r.Account].Key)
	q.Header.Set(timeoutHeader, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	reply, err := c.client.Do(q)
	if err != nil {
		return Result{Outcome: Unknown, Code: broken(err)}
	}
	defer reply.Body.Close()
	result := Result{Status: reply.StatusCode, ID: reply.Header.Get(requestHeader)}
	switch {
	case reply.StatusCode != http.StatusOK:
		result.refused(reply)
	case r.Kind == planner.Booking:
		result.booked(reply, r, start)
	case r.Stream:
		result.streamed(reply.Body, check{seed: seed, answer: r.Answer}, start)
	default:
		result.whole(reply.Body, check{seed: seed, answer: r.Answer}, start)
	}
	return result
}

// broken names the way in which a call got no answer.
func broken(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "client_timeout"
	}
	return "connection"
}

// build returns the HTTP request and the seed of the answer that is due.
func (c *Caller) build(ctx context.Context, r planner.Request) (*http.Request, uint64, error) {
	address := "http://" + c.set.Entries[r.Entry%len(c.set.Entries)]
	if r.Kind == planner.Booking {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/services/"+c.set.Service+"/book", bytes.NewReader(BookingBody(r)))
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

// promptBody returns the path and the JSON text of a prompt, which needs no
// escapes.
func (c *Caller) promptBody(r planner.Request, prompt []byte) (string, []byte) {
	var body bytes.Buffer
	body.Grow(len(prompt) + 256)
	body.WriteString(`{"model":` + strconv.Quote(c.set.Model) + `,"max_tokens":` + strconv.FormatInt(r.Answer, 10) + `,"stream":` + strconv.FormatBool(r.Stream))
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

// BookingBody returns the body of a booking.
func BookingBody(r planner.Request) []byte {
	return []byte(`{"crew":"crew` + strconv.Itoa(r.Account) + `","serial":` + strconv.Itoa(r.Serial) + `}`)
}

// failure is the error object of the callers' interface.
type failure struct {
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// maxFailure is the longest error object that is read, in bytes.
const maxFailure = 64 << 10

func (r *Result) refused(reply *http.Response) {
	r.Outcome = Unknown
	if reply.Header.Get(outcomeHeader) == notRun {
		r.Outcome = NotRun
	}
	if seconds, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil {
		r.Retry = time.Duration(seconds) * time.Second
	}
	var f failure
	if json.NewDecoder(io.LimitReader(reply.Body, maxFailure)).Decode(&f) == nil && f.Error != nil {
		r.Code = f.Error.Code
	}
}

func (r *Result) booked(reply *http.Response, q planner.Request, start time.Time) {
	r.First = time.Since(start)
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxFailure))
	if err != nil {
		r.Outcome, r.Code = Unknown, broken(err)
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
