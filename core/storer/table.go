package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// defaultTimeout bounds one call to the platform when Config says nothing.
const defaultTimeout = 2 * time.Second

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // rises with every write of the row, from 1
}

// Check demands that a row has a version; version 0 means that it is absent.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is one transaction.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row; a row that is absent has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose keys start with prefix and are
	// greater than after, in order of key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, txn Txn) error
}

// ConflictError says that a transaction's checks failed and gives the rows as
// they are; absent ones have Version 0.
type ConflictError struct {
	Rows []Row `json:"rows"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("storer: %d checks failed", len(e.Rows))
}

// UnavailableError says that the service refused a call without running it.
type UnavailableError struct {
	RetryAfter time.Duration // when to come back
}

// Error implements error.
func (e *UnavailableError) Error() string { return "storer: service is down" }

// UnknownOutcomeError says that a call may or may not have taken effect.
type UnknownOutcomeError struct {
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "storer: outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Config describes a client of the platform. The zero Timeout is two seconds
// a call.
type Config struct {
	Address string // ip:port
	Timeout time.Duration
	Client  *http.Client
}

func (c Config) client() *http.Client {
	if c.Client != nil {
		return c.Client
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	return &http.Client{Timeout: c.Timeout}
}

// HTTPTable is a Table over HTTP.
type HTTPTable struct {
	address string
	client  *http.Client
}

// NewTable returns a client of the table service.
func NewTable(config Config) *HTTPTable {
	return &HTTPTable{address: config.Address, client: config.client()}
}

// Get implements Table.
func (t *HTTPTable) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := t.call(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// Scan implements Table.
func (t *HTTPTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := t.call(ctx, http.MethodGet, "/table/scan?"+q.Encode(), nil, &rows)
	return rows, err
}

// Commit implements Table.
func (t *HTTPTable) Commit(ctx context.Context, txn Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return err
	}
	return t.call(ctx, http.MethodPost, "/table/commit", body, nil)
}

func (t *HTTPTable) call(ctx context.Context, method, path string, body []byte, into any) error {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+t.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r, err := t.client.Do(q)
	if err != nil {
		return &UnknownOutcomeError{Cause: err}
	}
	defer r.Body.Close()
	return decode(r, into)
}

func decode(r *http.Response, into any) error {
	switch r.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		e := &ConflictError{}
		if err := json.NewDecoder(r.Body).Decode(e); err != nil {
			return &UnknownOutcomeError{Cause: err}
		}
		return e
	case http.StatusServiceUnavailable:
		return &UnavailableError{RetryAfter: retryAfter(r)}
	default:
		return &UnknownOutcomeError{Cause: fmt.Errorf("status %d", r.StatusCode)}
	}
	if into == nil {
		_, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return &UnknownOutcomeError{Cause: err}
		}
		return nil
	}
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		return &UnknownOutcomeError{Cause: err}
	}
	return nil
}

func retryAfter(r *http.Response) time.Duration {
	n, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil || n < 1 {
		n = 1
	}
	return time.Duration(n) * time.Second
}
