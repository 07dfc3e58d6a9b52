package recorder

import (
	"encoding/json"
	"net/url"
	"time"

	"bamboohill/core/storer"
)

// prefix is the key prefix of all rows of this package.
const prefix = "once/"

// state is the state of a row.
type state string

const (
	claimed  state = "claimed"  // the call was sent to the service or is about to be
	answered state = "answered" // the row holds the answer
	void     state = "void"     // the call was never sent under this claim
)

// record is the value of a row.
type record struct {
	State   state   `json:"state"`
	Claim   string  `json:"claim"` // id of one attempt of one sidecar to run the call
	Attempt string  `json:"attempt"`
	Hash    []byte  `json:"hash"` // Call.Hash
	VM      string  `json:"vm"`
	Boot    uint64  `json:"boot"`
	At      int64   `json:"at"` // time of the last write by the writer's clock, Unix seconds
	Answer  *Answer `json:"answer,omitempty"`
}

// Answer is the complete answer of a service to one call.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body,omitempty"`
	// Large is true if the body was longer than Config.MaxAnswerBytes and is not
	// stored: the call ran, but its answer can't be replayed.
	Large bool `json:"large,omitempty"`
}

// rowKey returns the row key for an account's idempotency key. Both parts are
// escaped so that no two pairs share a row.
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

// expired reports whether a row was last written more than retention ago.
func (r record) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(time.Unix(r.At, 0)) > retention
}
