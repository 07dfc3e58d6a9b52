// Package spreader measures on real processes how a change spreads: how long
// an entry serves what it takes away, how long until every entry and
// sidecar is known to have it, and what it costs the table service.
//
// # Usage
//
//	s := spreader.New(spreader.Config{Entries: addresses, Operator: key, Table: table, Sidecars: 12})
//	result, err := s.Run(ctx, spreader.Key, 50)
//
// A round takes a caller's key, or a model of its plan, away through one entry
// after the other, and gives it back. Every entry is asked with that key all the
// while. A change counts as in force when the entry that took it says so of
// every entry and sidecar, as "bamboohill change --wait" does.
package spreader

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Kind is what a change takes away.
type Kind string

// Kinds of changes.
const (
	Key   Kind = "key"
	Model Kind = "model"
)

// Pauses between two questions.
const (
	askPause   = 2 * time.Millisecond
	forcePause = 5 * time.Millisecond
	giveUp     = 30 * time.Second
	idleTime   = 5 * time.Second
)

// Names of what is changed.
const (
	account = "spread"
	caller  = "spread-caller"
	taken   = "survey" // the model that is taken away
)

// Config describes a Spreader.
type Config struct {
	Entries  []string // callers' addresses
	Operator string   // key
	Table    string   // address of the table service's stand-in
	Sidecars int      // that must have a change
}

// Result holds the times from the start of each change, sorted.
type Result struct {
	Accepted []time.Duration
	InForce  []time.Duration
	Served   []time.Duration // until the last question was sent that an entry still answered
	Reads    float64         // of the table, a change, idle reads taken off
	Writes   float64
}

// Spreader measures changes.
type Spreader struct {
	config Config
	client *http.Client
}

// New returns a spreader.
func New(config Config) *Spreader {
	return &Spreader{config: config, client: &http.Client{Timeout: giveUp, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Run makes the given number of changes that take something away, each after
// one that gives it. It fails when a change is refused or is not in force in
// half a minute.
func (s *Spreader) Run(ctx context.Context, kind Kind, changes int) (Result, error) {
	var r Result
	if err := s.prepare(ctx); err != nil {
		return r, err
	}
	idle, err := s.idle(ctx)
	if err != nil {
		return r, err
	}
	before, err := s.counts(ctx)
	if err != nil {
		return r, err
	}
	start := time.Now()
	for i := range changes {
		if err := s.round(ctx, kind, i%len(s.config.Entries), &r); err != nil {
			return r, err
		}
	}
	after, err := s.counts(ctx)
	if err != nil {
		return r, err
	}
	seconds := time.Since(start).Seconds()
	made := float64(2 * changes)
	r.Reads = (after.Reads - before.Reads - idle.Reads*seconds) / made
	r.Writes = (after.Writes - before.Writes - idle.Writes*seconds) / made
	slices.Sort(r.Accepted)
	slices.Sort(r.Served)
	slices.Sort(r.InForce)
	return r, nil
}

func (s *Spreader) prepare(ctx context.Context) error {
	if _, err := s.give(ctx, Model, 0); err != nil {
		return err
	}
	if _, err := s.change(ctx, 0, http.MethodPut, "rows/account/"+account, `{"account":{"name":"`+account+`","plan":"`+account+`"}}`); err != nil {
		return err
	}
	n, err := s.give(ctx, Key, 0)
	if err != nil {
		return err
	}
	return s.inForce(ctx, 0, n)
}

// round gives what the change takes away, waits, takes it and measures.
func (s *Spreader) round(ctx context.Context, kind Kind, entry int, r *Result) error {
	n, err := s.give(ctx, kind, entry)
	if err != nil {
		return err
	}
	if err := s.inForce(ctx, entry, n); err != nil {
		return err
	}
	served := make(chan service, len(s.config.Entries))
	start := time.Now()
	for _, a := range s.config.Entries {
		go func() { served <- s.untilRefused(ctx, a) }()
	}
	if n, err = s.take(ctx, kind, entry); err != nil {
		return err
	}
	r.Accepted = append(r.Accepted, time.Since(start))
	if err := s.inForce(ctx, entry, n); err != nil {
		return err
	}
	r.InForce = append(r.InForce, time.Since(start))
	return s.join(served, start, r)
}

// service is until when an entry served what a change takes away.
type service struct {
	last time.Time
	err  error
}

// join notes when the last question was sent that any entry answered.
func (s *Spreader) join(served chan service, start time.Time, r *Result) error {
	last := start
	for range s.config.Entries {
		e := <-served
		if e.err != nil {
			return e.err
		}
		if e.last.After(last) {
			last = e.last
		}
	}
	r.Served = append(r.Served, last.Sub(start))
	return nil
}

func (s *Spreader) give(ctx context.Context, kind Kind, entry int) (uint64, error) {
	if kind == Key {
		hash := sha256.Sum256([]byte(caller))
		return s.change(ctx, entry, http.MethodPost, "accounts/"+account+"/keys", `{"hash":"`+hex.EncodeToString(hash[:])+`"}`)
	}
	return s.change(ctx, entry, http.MethodPut, "rows/plan/"+account, plan(`{"model":"base"},{"model":"`+taken+`"}`))
}

func (s *Spreader) take(ctx context.Context, kind Kind, entry int) (uint64, error) {
	if kind == Key {
		hash := sha256.Sum256([]byte(caller))
		return s.change(ctx, entry, http.MethodDelete, "accounts/"+account+"/keys/"+hex.EncodeToString(hash[:6]), "")
	}
	return s.change(ctx, entry, http.MethodPut, "rows/plan/"+account, plan(`{"model":"base"}`))
}

func plan(offers string) string {
	return `{"plan":{"name":"` + account + `","offers":[` + offers + `],"timeoutMs":"10000"}}`
}

// change makes a change and returns its sequence number.
func (s *Spreader) change(ctx context.Context, entry int, method, path, body string) (uint64, error) {
	var answer struct {
		Sequence uint64 `json:"sequence"`
	}
	return answer.Sequence, s.call(ctx, method, s.config.Entries[entry], "/admin/"+path, body, &answer)
}

// tally is how many processes have a change in force, and which have not.
type tally struct {
	InForce int `json:"in_force"`
	Total   int `json:"total"`
	Behind  []struct {
		Name   string `json:"name"`
		Silent bool   `json:"silent"`
	} `json:"behind"`
}

func (s *Spreader) inForce(ctx context.Context, entry int, sequence uint64) error {
	for end := time.Now().Add(giveUp); ; time.Sleep(forcePause) {
		var f struct {
			Entries  tally `json:"entries"`
			Sidecars tally `json:"sidecars"`
		}
		err := s.call(ctx, http.MethodGet, s.config.Entries[entry], fmt.Sprintf("/admin/in-force?sequence=%d", sequence), "", &f)
		if err != nil {
			return err
		}
		if f.Entries.InForce == len(s.config.Entries) && f.Sidecars.InForce == s.config.Sidecars {
			return nil
		}
		if time.Now().After(end) {
			return &BehindError{Sequence: sequence, Asked: s.config.Entries[entry], Entries: f.Entries, Sidecars: f.Sidecars}
		}
	}
}

// BehindError says that a change was not in force everywhere in half a minute.
type BehindError struct {
	Sequence uint64
	Asked    string
	Entries  tally
	Sidecars tally
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("spreader: change %d by the word of %s: entries %+v, sidecars %+v", e.Sequence, e.Asked, e.Entries, e.Sidecars)
}

// untilRefused asks one entry until it refuses.
func (s *Spreader) untilRefused(ctx context.Context, address string) service {
	var last time.Time
	for end := time.Now().Add(giveUp); time.Now().Before(end); time.Sleep(askPause) {
		sent := time.Now()
		status, err := s.ask(ctx, address)
		switch {
		case err != nil:
			return service{err: err}
		case status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound:
			return service{last: last}
		case status == http.StatusOK:
			last = sent
		}
	}
	return service{err: fmt.Errorf("spreader: %s does not refuse", address)}
}

func (s *Spreader) ask(ctx context.Context, address string) (status int, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions",
		bytes.NewReader([]byte(`{"model":"`+taken+`","prompt":"a","max_tokens":1}`)))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Authorization", "Bearer "+caller)
	r, err := s.client.Do(q)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// counts is what the table service has done.
type counts struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

func (s *Spreader) counts(ctx context.Context) (counts, error) {
	var c counts
	return c, s.call(ctx, http.MethodGet, s.config.Table, "/table/counts", "", &c)
}

// idle returns the reads and writes a second without any change.
func (s *Spreader) idle(ctx context.Context) (counts, error) {
	before, err := s.counts(ctx)
	if err != nil {
		return before, err
	}
	time.Sleep(idleTime)
	after, err := s.counts(ctx)
	seconds := idleTime.Seconds()
	return counts{(after.Reads - before.Reads) / seconds, (after.Writes - before.Writes) / seconds}, err
}

func (s *Spreader) call(ctx context.Context, method, address, path, body string, into any) error {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+s.config.Operator)
	r, err := s.client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("spreader: %s %s: status %d: %s", method, path, r.StatusCode, text)
	}
	return json.Unmarshal(text, into)
}
