// Package caller calls the administration API. It tries several entries in turn
// and retries a change whose answer was lost.
//
// # Usage
//
//	c := caller.New(caller.Config{Entries: entries, Key: key})
//	err := c.Do(ctx, caller.Call{Method: "GET", Path: "/admin/status"}, &status)
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bamboohill/core/verifier"
)

const defaultTimeout = 5 * time.Second

// maxRounds is the number of rounds over all entries for a change whose outcome is
// unknown.
const maxRounds = 3

// roundInterval is the delay between two rounds.
const roundInterval = 300 * time.Millisecond

// Config describes a Caller. Only Entries and Key are required.
type Config struct {
	Entries []string // base URLs, or IP:PORT
	Key     string
	Timeout time.Duration // of a call to one entry; 5 s if 0
	Client  *http.Client  // a new one if nil
}

// Caller is a client of the administration API.
type Caller struct {
	config Config
}

// New returns a Caller.
func New(config Config) *Caller {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Client == nil {
		config.Client = &http.Client{Transport: verifier.DefaultTransport}
	}
	return &Caller{config: config}
}

// Call is a call of the administration API.
type Call struct {
	Method  string
	Path    string
	Body    []byte
	Version string // header If-Match; none if empty
	ID      string // header Change-Id; none if empty
}

// Error is an error that an entry answered with.
type Error struct {
	Status  int
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Version uint64          `json:"version"`
	Author  string          `json:"author"`
	Row     json.RawMessage `json:"row"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// UnreachableError reports that no entry gave a valid answer.
type UnreachableError struct {
	Causes         []string // one for each attempt without a valid answer
	OutcomeUnknown bool     // the change may have been made
}

// Error implements error.
func (e *UnreachableError) Error() string {
	text := "no entry answered: "
	if e.OutcomeUnknown {
		text = "no entry answered, the change may have been made: "
	}
	return text + strings.Join(e.Causes, "; ")
}

// Do makes a call and decodes its answer into a value. It tries the next entry if
// one can't be reached, is not ready or can't reach the store. A change keeps its
// id in all attempts, so that it is made once. Do returns an *Error if an entry
// refused the call, and an *UnreachableError if no entry gave a valid answer or the
// outcome of a change is unknown.
func (c *Caller) Do(ctx context.Context, call Call, into any) error {
	var lastRefusal error
	unreachable := &UnreachableError{}
	for round := range maxRounds {
		for _, entry := range c.config.Entries {
			err := c.try(ctx, entry, call, into)
			var refusal *Error
			switch {
			case err == nil:
				return nil
			case errors.As(err, &refusal) && !retryable(refusal):
				return err
			case errors.As(err, &refusal):
				lastRefusal = err
				unreachable.OutcomeUnknown = unreachable.OutcomeUnknown || refusal.Code == "unknown"
			default:
				unreachable.Causes = append(unreachable.Causes, err.Error())
				unreachable.OutcomeUnknown = unreachable.OutcomeUnknown || call.Method != http.MethodGet && !notSent(err)
			}
		}
		if !unreachable.OutcomeUnknown || ctx.Err() != nil || round == maxRounds-1 {
			break
		}
		time.Sleep(roundInterval)
	}
	if lastRefusal != nil && !unreachable.OutcomeUnknown {
		return lastRefusal
	}
	return unreachable
}

// retryable reports whether another entry may give a different answer: it may be ready,
// reach the store, or know the outcome.
func retryable(e *Error) bool {
	return e.Code == "not_ready" || e.Code == "store_down" || e.Code == "unknown"
}

// notSent reports whether a call certainly did not reach the entry.
func notSent(err error) bool {
	return strings.Contains(err.Error(), "connect:") || strings.Contains(err.Error(), "no such host")
}

func (c *Caller) try(ctx context.Context, entry string, call Call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, strings.TrimSuffix(entry, "/")+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	if call.Version != "" {
		request.Header.Set("If-Match", call.Version)
	}
	if call.ID != "" {
		request.Header.Set("Change-Id", call.ID)
	}
	response, err := c.config.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(text, into)
	}
	e := struct {
		Error *Error `json:"error"`
	}{Error: &Error{}}
	if json.Unmarshal(text, &e) != nil || e.Error.Code == "" {
		e.Error = &Error{Code: "bad_answer", Message: fmt.Sprintf("status %d from %s", response.StatusCode, entry)}
	}
	e.Error.Status = response.StatusCode
	return e.Error
}
