package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bamboohill/core/storer"
)

// budgetKey is the row that holds the fleet's budget of weight loads.
const budgetKey = "order/budget"

// LoadBudget is the fleet's share of the weight store: a token bucket in one row.
type LoadBudget struct {
	Table storer.Table
	Rate  float64 // loads a second, of the whole fleet
	Burst float64 // loads at once, at least 1
	Now   func() time.Time
}

type bucket struct {
	At     int64   `json:"at"` // unix milliseconds, never goes back
	Tokens float64 `json:"tokens"`
}

// Take asks for one load and reports whether the caller has it. A take whose
// outcome is unknown counts as taken and is not used, so the rate holds.
func (b LoadBudget) Take(ctx context.Context) (bool, error) {
	now := time.Now
	if b.Now != nil {
		now = b.Now
	}
	row, err := b.Table.Get(ctx, budgetKey)
	if err != nil {
		return false, err
	}
	have := bucket{At: now().UnixMilli(), Tokens: b.Burst}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &have); err != nil {
			return false, err
		}
	}
	at := max(have.At, now().UnixMilli())
	passed := time.Duration(at-have.At) * time.Millisecond
	next := bucket{At: at, Tokens: min(b.Burst, have.Tokens+passed.Seconds()*b.Rate)}
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
		return false, nil // another sidecar was first; ask again later
	}
	return err == nil, err
}
