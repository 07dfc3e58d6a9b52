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

	"bamboohill/core/verifier"
)

// defaultTimeout limits one call to the platform if Config.Timeout is not set.
const defaultTimeout = 2 * time.Second

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // 1 after the first write, increased by every write
}

// Check is the condition that a row has a version. Version 0 means that the row
// is absent.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is the write of a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: its writes take effect only if all checks hold.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row. An absent row has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose keys start with prefix and are
	// greater than after, in order of key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. The package comment lists its errors.
	Commit(ctx context.Context, txn Txn) error
}

// ConflictError reports that checks of a transaction failed. Rows holds the
// current rows of the failed checks; absent ones have Version 0.
type ConflictError struct {
	Rows []Row `json:"rows"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("storer: %d checks failed", len(e.Rows))
}

// UnavailableError reports that the service refused a call without executing it.
type UnavailableError struct {
	RetryAfter time.Duration // delay before the next call
}

// Error implements error.
func (e *UnavailableError) Error() string { return "storer: service is down" }

// UnknownOutcomeError reports that a call may or may not have taken effect.
type UnknownOutcomeError struct {
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "storer: outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Config describes a client of a platform service. Timeout limits one call; the
// default is 2 s. Client replaces the default client and its timeout.
type Config struct {
	Address string // IP:PORT
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
	return &http.Client{Timeout: c.Timeout, Transport: verifier.DefaultTransport}
}

// HTTPTable implements Table over HTTP.
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
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := t.call(ctx, http.MethodGet, "/table/scan?"+query.Encode(), nil, &rows)
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
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := t.client.Do(request)
	if err != nil {
		return &UnknownOutcomeError{Cause: err}
	}
	defer response.Body.Close()
	return decode(response, into)
}

func decode(response *http.Response, into any) error {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		e := &ConflictError{}
		if err := json.NewDecoder(response.Body).Decode(e); err != nil {
			return &UnknownOutcomeError{Cause: err}
		}
		return e
	case http.StatusServiceUnavailable:
		return &UnavailableError{RetryAfter: retryAfter(response)}
	default:
		return &UnknownOutcomeError{Cause: fmt.Errorf("status %d", response.StatusCode)}
	}
	if into == nil {
		_, err := io.Copy(io.Discard, response.Body)
		if err != nil {
			return &UnknownOutcomeError{Cause: err}
		}
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return &UnknownOutcomeError{Cause: err}
	}
	return nil
}

func retryAfter(response *http.Response) time.Duration {
	n, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || n < 1 {
		n = 1
	}
	return time.Duration(n) * time.Second
}
