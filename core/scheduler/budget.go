package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bamboohill/core/storer"
)

// budgetKey is the key of the row with the token bucket of the fleet.
const budgetKey = "order/budget"

// LoadBudget limits the rate at which the fleet loads weights from the weight
// store. It is a token bucket in a row of the table, which all sidecars share.
type LoadBudget struct {
	Table storer.Table
	Rate  float64          // loads/s of the whole fleet
	Burst float64          // capacity of the bucket in loads, at least 1
	Now   func() time.Time // time.Now if nil
}

// bucket is the value of the row.
type bucket struct {
	At     int64   `json:"at"` // Unix time in ms, never decreases
	Tokens float64 `json:"tokens"`
}

// Take takes a token for one load and reports whether there was one. If the
// outcome of the commit is unknown it returns an error and the token may be
// lost, so the rate is never exceeded. It also returns false if another sidecar
// changed the row at the same time.
func (b LoadBudget) Take(ctx context.Context) (bool, error) {
	now := time.Now
	if b.Now != nil {
		now = b.Now
	}
	row, err := b.Table.Get(ctx, budgetKey)
	if err != nil {
		return false, err
	}
	current := bucket{At: now().UnixMilli(), Tokens: b.Burst}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return false, err
		}
	}
	at := max(current.At, now().UnixMilli())
	elapsed := time.Duration(at-current.At) * time.Millisecond
	next := bucket{At: at, Tokens: min(b.Burst, current.Tokens+elapsed.Seconds()*b.Rate)}
	if next.Tokens < 1 {
		return false, nil
	}
	next.Tokens--
	value, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	err = b.Table.Commit(ctx, storer.Txn{
		Checks: []storer.Check{{Key: budgetKey, Version: row.Version}},
		Puts:   []storer.Put{{Key: budgetKey, Value: value}},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return false, nil // another sidecar was faster; the caller tries again later
	}
	return err == nil, err
}
