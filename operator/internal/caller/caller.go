// Package caller makes the calls of the administration API: it tries several
// entries in turn and asks again about a change whose answer was lost.
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
)

// defaultLimit bounds one call to one entry.
const defaultLimit = 5 * time.Second

// rounds is how often all entries are tried for a change in doubt.
const rounds = 3

// roundPause lies between two rounds.
const roundPause = 300 * time.Millisecond

// Config describes a Caller. The zero Limit is five seconds a call.
type Config struct {
	Entries []string // base URLs, or IP:PORT
	Key     string
	Limit   time.Duration
	Client  *http.Client
}

// Caller calls entries.
type Caller struct {
	config Config
}

// New returns a caller.
func New(config Config) *Caller {
	if config.Limit <= 0 {
		config.Limit = defaultLimit
	}
	if config.Client == nil {
		config.Client = &http.Client{}
	}
	return &Caller{config: config}
}

// Call is one call.
type Call struct {
	Method  string
	Path    string
	Body    []byte
	Version string // If-Match, "" for none
	ID      string // Change-Id
}

// Error is a refusal by an entry.
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

// ReachError says that no entry answered.
type ReachError struct {
	Causes []string // one for each entry
	Doubt  bool     // a change may have been made
}

// Error implements error.
func (e *ReachError) Error() string {
	text := "no entry answered: "
	if e.Doubt {
		text = "no entry answered, the change may have been made: "
	}
	return text + strings.Join(e.Causes, "; ")
}

// Do makes a call and decodes its answer into a value. Entries that can't be
// reached, are not ready or can't reach the store are passed over; a change
// keeps its id from one to the next, so it is made once.
func (c *Caller) Do(ctx context.Context, call Call, into any) error {
	var last error
	reach := &ReachError{}
	for round := range rounds {
		for _, entry := range c.config.Entries {
			err := c.try(ctx, entry, call, into)
			var refusal *Error
			switch {
			case err == nil:
				return nil
			case errors.As(err, &refusal) && !passing(refusal):
				return err
			case errors.As(err, &refusal):
				last = err
				reach.Doubt = reach.Doubt || refusal.Code == "unknown"
			default:
				reach.Causes = append(reach.Causes, err.Error())
				reach.Doubt = reach.Doubt || call.Method != http.MethodGet && !unsent(err)
			}
		}
		if !reach.Doubt || ctx.Err() != nil || round == rounds-1 {
			break
		}
		time.Sleep(roundPause)
	}
	if last != nil && !reach.Doubt {
		return last
	}
	return reach
}

// passing reports whether another entry may answer otherwise.
func passing(e *Error) bool {
	return e.Code == "not_ready" || e.Code == "store_down" || e.Code == "unknown"
}

// unsent reports whether a call can't have reached the entry.
func unsent(err error) bool {
	return strings.Contains(err.Error(), "connect:") || strings.Contains(err.Error(), "no such host")
}

func (c *Caller) try(ctx context.Context, entry string, call Call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Limit)
	defer cancel()
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	q, err := http.NewRequestWithContext(ctx, call.Method, strings.TrimSuffix(entry, "/")+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+c.config.Key)
	if call.Version != "" {
		q.Header.Set("If-Match", call.Version)
	}
	if call.ID != "" {
		q.Header.Set("Change-Id", call.ID)
	}
	r, err := c.config.Client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode == http.StatusOK {
		return json.Unmarshal(text, into)
	}
	e := struct {
		Error *Error `json:"error"`
	}{Error: &Error{}}
	if json.Unmarshal(text, &e) != nil || e.Error.Code == "" {
		e.Error = &Error{Code: "bad_answer", Message: fmt.Sprintf("status %d from %s", r.StatusCode, entry)}
	}
	e.Error.Status = r.StatusCode
	return e.Error
}
