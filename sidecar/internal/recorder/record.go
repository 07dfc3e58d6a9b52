package recorder

import (
	"encoding/json"
	"net/url"
	"time"

	"bamboohill/core/storer"
)

// prefix of every row of this package.
const prefix = "once/"

// state of a row.
type state string

const (
	claimed  state = "claimed"  // handed over, or about to be
	answered state = "answered" // the answer is in the row
	void     state = "void"     // the claim's holder never handed it over
)

// record is the value of a row.
type record struct {
	State   state   `json:"state"`
	Claim   string  `json:"claim"` // names one inserter's one try
	Attempt string  `json:"attempt"`
	Hash    []byte  `json:"hash"` // of the call
	VM      string  `json:"vm"`
	Boot    uint64  `json:"boot"`
	At      int64   `json:"at"` // last write, unix seconds of the writer
	Answer  *Answer `json:"answer,omitempty"`
}

// Answer is a service's whole answer to one call.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body,omitempty"`
	// Large says that the body was longer than Config.Largest and is not kept:
	// the call ran, and its answer can't be replayed.
	Large bool `json:"large,omitempty"`
}

// rowKey returns the row of an account's idempotency key. Both are escaped:
// no two pairs share a row.
func rowKey(account, key string) string {
	return prefix + url.PathEscape(account) + "/" + url.PathEscape(key)
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("recorder: record does not encode: " + err.Error())
	}
	return value
}

func decode(row storer.Row) (record, error) {
	var r record
	return r, json.Unmarshal(row.Value, &r)
}

// expired reports whether a row was last written longer than retention ago.
func (r record) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(time.Unix(r.At, 0)) > retention
}
