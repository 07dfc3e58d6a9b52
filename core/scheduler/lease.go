package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboohill/core/storer"
)

// LeaseKey returns the key of the lease row of a failure domain.
func LeaseKey(domain string) string { return "order/lease/" + domain }

// Grant is the state of a lease as its holder last read it.
type Grant struct {
	Key     string
	Number  uint64 // incremented with each change of holder
	Version uint64 // of the lease row

	lease lease // value of the lease row
}

// lease is the value of a lease row.
type lease struct {
	Holder string `json:"holder"`
	Number uint64 `json:"number"`
	// Revision is incremented with each write of desired states of the failure
	// domain, whoever holds the lease. Recent lists the rows that were written
	// last.
	Revision uint64  `json:"revision"`
	Recent   []write `json:"recent,omitempty"`
}

// write is the last write of a desired state.
type write struct {
	Key      string `json:"key"` // of the row with the desired state
	Revision uint64 `json:"revision"`
}

// recentWrites is the maximum number of writes that a lease row lists.
const recentWrites = 32

// withWrites returns the lease after a write of the given rows.
func (l lease) withWrites(rows []DesiredRow) lease {
	l.Revision++
	l.Recent = slices.DeleteFunc(slices.Clone(l.Recent), func(w write) bool {
		return slices.ContainsFunc(rows, func(x DesiredRow) bool { return x.Key == w.Key })
	})
	for _, x := range rows {
		l.Recent = append(l.Recent, write{Key: x.Key, Revision: l.Revision})
	}
	l.Recent = l.Recent[max(0, len(l.Recent)-recentWrites):]
	return l
}

// LeaseLostError reports that a lease has changed since it was granted, so that
// nothing was written.
type LeaseLostError struct {
	Grant Grant
}

// Error implements error.
func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("scheduler: lease %s, number %d, is no longer held", e.Grant.Key, e.Grant.Number)
}

// LesseeConfig configures a Lessee.
type LesseeConfig struct {
	Table storer.Table
	Key   string // of the lease row
	Name  string // unique to one process and one start of it
	// Term is the time for which a lease row must stay unchanged before another
	// process may take the lease. A holder calls Step several times in a term.
	Term time.Duration
	Now  func() time.Time // time.Now if nil
}

// Lessee holds one lease or waits for it. Create it with NewLessee. It is not
// safe for concurrent use.
type Lessee struct {
	config         LesseeConfig
	seenVersion    uint64 // version of the row in the last call of expired
	unchangedSince time.Time
	known          bool  // seenVersion is set
	last           lease // value of the row in the last Step
}

// NewLessee returns a Lessee that does not hold the lease. It panics if Table is
// nil or Name is empty.
func NewLessee(config LesseeConfig) *Lessee {
	if config.Table == nil {
		panic("scheduler: nil table")
	}
	if config.Name == "" {
		panic("scheduler: empty name")
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Lessee{config: config}
}

// Step renews the lease if this process holds it, takes it if it has expired,
// and otherwise does nothing. It reads the table once, or reads it twice and
// writes it once if it takes or renews the lease. The lease may already be lost
// when Step returns held; Write checks it again.
func (l *Lessee) Step(ctx context.Context) (grant Grant, held bool, err error) {
	row, err := l.config.Table.Get(ctx, l.config.Key)
	if err != nil {
		return Grant{}, false, err
	}
	var current lease
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return Grant{}, false, err
		}
	}
	l.last = current
	next := current
	if current.Holder != l.config.Name {
		if row.Version > 0 && !l.expired(row.Version) {
			return Grant{}, false, nil
		}
		next.Holder, next.Number = l.config.Name, current.Number+1
	}
	return l.commit(ctx, row.Version, next)
}

// Revisions returns the revisions of the rows that the lease row lists, by row
// key, as of the last call of Step.
func (l *Lessee) Revisions() map[string]uint64 {
	all := make(map[string]uint64, len(l.last.Recent))
	for _, w := range l.last.Recent {
		all[w.Key] = w.Revision
	}
	return all
}

// expired reports whether the row has been unchanged for the term.
func (l *Lessee) expired(version uint64) bool {
	now := l.config.Now()
	if !l.known || version != l.seenVersion {
		l.seenVersion, l.unchangedSince, l.known = version, now, true
	}
	return now.Sub(l.unchangedSince) >= l.config.Term
}

// commit writes the next value of the lease row if the row still has the given
// version, and reads it back. It reports false if another process was faster.
func (l *Lessee) commit(ctx context.Context, version uint64, next lease) (Grant, bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Grant{}, false, err
	}
	err = l.config.Table.Commit(ctx, storer.Txn{
		Checks: []storer.Check{{Key: l.config.Key, Version: version}},
		Puts:   []storer.Put{{Key: l.config.Key, Value: value}},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return Grant{}, false, nil
	}
	if err != nil {
		return Grant{}, false, err
	}
	row, err := l.config.Table.Get(ctx, l.config.Key)
	if err != nil {
		return Grant{}, false, err
	}
	var current lease
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return Grant{}, false, err
	}
	held := current.Holder == next.Holder && current.Number == next.Number
	return Grant{Key: l.config.Key, Number: current.Number, Version: row.Version, lease: current}, held, nil
}
