// Package changeprober measures the propagation of configuration changes between
// real processes: how long entries continue to serve what a change revokes, how
// long until the change is active in every entry and sidecar, and how many reads
// and writes of the table service it takes.
//
// # Usage
//
//	p := changeprober.New(changeprober.Config{Entries: addresses, Operator: key, Table: table, Sidecars: 12})
//	result, err := p.Run(ctx, changeprober.Key, 50)
//
// Each round grants and revokes a caller's key, or a model of the caller's
// plan, through one of the entries in turn. Meanwhile all entries receive
// requests with that key. A change counts as active once the entry that accepted
// it reports it active for every entry and sidecar, as for
// "bamboohill change --wait".
package changeprober

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

// Kind is the kind of configuration that a change revokes.
type Kind string

// Kinds of changes.
const (
	Key   Kind = "key"
	Model Kind = "model"
)

// Intervals and time limits.
const (
	promptInterval = 2 * time.Millisecond
	statusInterval = 5 * time.Millisecond
	timeout        = 30 * time.Second
	idlePeriod     = 5 * time.Second
)

// Names of the objects that changes concern.
const (
	account      = "spread"
	callerKey    = "spread-caller"
	revokedModel = "survey" // revoked from the plan by changes of kind Model
)

// Config configures a Prober.
type Config struct {
	Entries  []string // callers' addresses
	Operator string   // operator's key
	Table    string   // address of the table service stand-in
	Sidecars int      // number of sidecars in which a change must be active
}

// Result holds, in ascending order, times since the start of each revoking change.
type Result struct {
	Accepted        []time.Duration // until an entry accepted the change
	Active          []time.Duration // until that entry reported the change active everywhere
	ServedUntil     []time.Duration // until the start of the last request that an entry still served
	ReadsPerChange  float64         // of the table service, less those without changes
	WritesPerChange float64         // likewise
}

// Prober measures the propagation of changes.
type Prober struct {
	config Config
	client *http.Client
}

// New returns a prober.
func New(config Config) *Prober {
	return &Prober{config: config, client: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Run makes the given number of revoking changes, each after a granting one. It
// fails if a change is refused, or with a *PropagationError if a change is not
// active everywhere within 30 seconds.
func (p *Prober) Run(ctx context.Context, kind Kind, changes int) (Result, error) {
	var r Result
	if err := p.prepare(ctx); err != nil {
		return r, err
	}
	idle, err := p.idleRates(ctx)
	if err != nil {
		return r, err
	}
	before, err := p.counts(ctx)
	if err != nil {
		return r, err
	}
	start := time.Now()
	for i := range changes {
		if err := p.round(ctx, kind, i%len(p.config.Entries), &r); err != nil {
			return r, err
		}
	}
	after, err := p.counts(ctx)
	if err != nil {
		return r, err
	}
	seconds := time.Since(start).Seconds()
	total := float64(2 * changes)
	r.ReadsPerChange = (after.Reads - before.Reads - idle.Reads*seconds) / total
	r.WritesPerChange = (after.Writes - before.Writes - idle.Writes*seconds) / total
	slices.Sort(r.Accepted)
	slices.Sort(r.ServedUntil)
	slices.Sort(r.Active)
	return r, nil
}

func (p *Prober) prepare(ctx context.Context) error {
	if _, err := p.grant(ctx, Model, 0); err != nil {
		return err
	}
	if _, err := p.change(ctx, 0, http.MethodPut, "rows/account/"+account, `{"account":{"name":"`+account+`","plan":"`+account+`"}}`); err != nil {
		return err
	}
	n, err := p.grant(ctx, Key, 0)
	if err != nil {
		return err
	}
	return p.waitActive(ctx, 0, n)
}

// round makes a granting change, waits until it is active, and measures a
// revoking one.
func (p *Prober) round(ctx context.Context, kind Kind, entry int, r *Result) error {
	n, err := p.grant(ctx, kind, entry)
	if err != nil {
		return err
	}
	if err := p.waitActive(ctx, entry, n); err != nil {
		return err
	}
	served := make(chan serviceEnd, len(p.config.Entries))
	start := time.Now()
	for _, a := range p.config.Entries {
		go func() { served <- p.sendUntilRefused(ctx, a) }()
	}
	if n, err = p.revoke(ctx, kind, entry); err != nil {
		return err
	}
	r.Accepted = append(r.Accepted, time.Since(start))
	if err := p.waitActive(ctx, entry, n); err != nil {
		return err
	}
	r.Active = append(r.Active, time.Since(start))
	return p.recordServed(served, start, r)
}

// serviceEnd is the start of the last request with the revoked key or model that
// an entry served.
type serviceEnd struct {
	last time.Time
	err  error
}

// recordServed records the start of the last request that any entry served.
func (p *Prober) recordServed(served chan serviceEnd, start time.Time, r *Result) error {
	last := start
	for range p.config.Entries {
		e := <-served
		if e.err != nil {
			return e.err
		}
		if e.last.After(last) {
			last = e.last
		}
	}
	r.ServedUntil = append(r.ServedUntil, last.Sub(start))
	return nil
}

func (p *Prober) grant(ctx context.Context, kind Kind, entry int) (uint64, error) {
	if kind == Key {
		hash := sha256.Sum256([]byte(callerKey))
		return p.change(ctx, entry, http.MethodPost, "accounts/"+account+"/keys", `{"hash":"`+hex.EncodeToString(hash[:])+`"}`)
	}
	return p.change(ctx, entry, http.MethodPut, "rows/plan/"+account, plan(`{"model":"base"},{"model":"`+revokedModel+`"}`))
}

func (p *Prober) revoke(ctx context.Context, kind Kind, entry int) (uint64, error) {
	if kind == Key {
		hash := sha256.Sum256([]byte(callerKey))
		return p.change(ctx, entry, http.MethodDelete, "accounts/"+account+"/keys/"+hex.EncodeToString(hash[:6]), "")
	}
	return p.change(ctx, entry, http.MethodPut, "rows/plan/"+account, plan(`{"model":"base"}`))
}

func plan(offers string) string {
	return `{"plan":{"name":"` + account + `","offers":[` + offers + `],"timeoutMs":"10000"}}`
}

// change sends a change to an entry and returns its sequence number.
func (p *Prober) change(ctx context.Context, entry int, method, path, body string) (uint64, error) {
	var answer struct {
		Sequence uint64 `json:"sequence"`
	}
	return answer.Sequence, p.call(ctx, method, p.config.Entries[entry], "/admin/"+path, body, &answer)
}

// processCount counts the processes in which a change is active, and lists the others.
type processCount struct {
	InForce int `json:"in_force"`
	Total   int `json:"total"`
	Behind  []struct {
		Name   string `json:"name"`
		Silent bool   `json:"silent"`
	} `json:"behind"`
}

func (p *Prober) waitActive(ctx context.Context, entry int, sequence uint64) error {
	for end := time.Now().Add(timeout); ; time.Sleep(statusInterval) {
		var f struct {
			Entries  processCount `json:"entries"`
			Sidecars processCount `json:"sidecars"`
		}
		err := p.call(ctx, http.MethodGet, p.config.Entries[entry], fmt.Sprintf("/admin/in-force?sequence=%d", sequence), "", &f)
		if err != nil {
			return err
		}
		if f.Entries.InForce == len(p.config.Entries) && f.Sidecars.InForce == p.config.Sidecars {
			return nil
		}
		if time.Now().After(end) {
			return &PropagationError{Sequence: sequence, Reporter: p.config.Entries[entry], Entries: f.Entries, Sidecars: f.Sidecars}
		}
	}
}

// PropagationError reports that a change was not active everywhere within 30 seconds.
type PropagationError struct {
	Sequence uint64 // of the change
	Reporter string // address of the entry that accepted the change and reported on it
	Entries  processCount
	Sidecars processCount
}

// Error implements error.
func (e *PropagationError) Error() string {
	return fmt.Sprintf("changeprober: change %d is not active everywhere, as reported by %s: entries %+v, sidecars %+v", e.Sequence, e.Reporter, e.Entries, e.Sidecars)
}

// sendUntilRefused sends prompts to an entry until it refuses one.
func (p *Prober) sendUntilRefused(ctx context.Context, address string) serviceEnd {
	var last time.Time
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(promptInterval) {
		sent := time.Now()
		status, err := p.sendPrompt(ctx, address)
		switch {
		case err != nil:
			return serviceEnd{err: err}
		case status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound:
			return serviceEnd{last: last}
		case status == http.StatusOK:
			last = sent
		}
	}
	return serviceEnd{err: fmt.Errorf("changeprober: %s did not refuse requests with the revoked key or model", address)}
}

func (p *Prober) sendPrompt(ctx context.Context, address string) (status int, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions",
		bytes.NewReader([]byte(`{"model":"`+revokedModel+`","prompt":"a","max_tokens":1}`)))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Authorization", "Bearer "+callerKey)
	r, err := p.client.Do(q)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// counts holds the table service's numbers of reads and writes.
type counts struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

func (p *Prober) counts(ctx context.Context) (counts, error) {
	var c counts
	return c, p.call(ctx, http.MethodGet, p.config.Table, "/table/counts", "", &c)
}

// idleRates returns the reads and writes per second without changes.
func (p *Prober) idleRates(ctx context.Context) (counts, error) {
	before, err := p.counts(ctx)
	if err != nil {
		return before, err
	}
	time.Sleep(idlePeriod)
	after, err := p.counts(ctx)
	seconds := idlePeriod.Seconds()
	return counts{(after.Reads - before.Reads) / seconds, (after.Writes - before.Writes) / seconds}, err
}

func (p *Prober) call(ctx context.Context, method, address, path, body string, into any) error {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+p.config.Operator)
	r, err := p.client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("changeprober: %s %s: status %d: %s", method, path, r.StatusCode, text)
	}
	return json.Unmarshal(text, into)
}
