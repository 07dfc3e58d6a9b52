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

// LeaseKey returns the lease row of a failure domain.
func LeaseKey(domain string) string { return "order/lease/" + domain }

// Grant is a lease as its holder last knew it.
type Grant struct {
	Key     string
	Number  uint64 // rises with each change of holder
	Version uint64 // of the lease row

	lease lease // as the row holds it
}

// lease is the value of a lease row.
type lease struct {
	Holder string `json:"holder"`
	Number uint64 `json:"number"`
	// Revision rises with each write of a wanted state of the failure domain,
	// whoever holds the lease; Recent names the servers of the last ones.
	Revision uint64  `json:"revision"`
	Recent   []write `json:"recent,omitempty"`
}

// write is one write of a wanted state.
type write struct {
	Key      string `json:"key"` // of the wanted row
	Revision uint64 `json:"revision"`
}

// recentWrites is how many servers a lease row names.
const recentWrites = 32

// after returns the lease as it stands after a write of some wanted rows.
func (l lease) after(wants []DesiredRow) lease {
	l.Revision++
	l.Recent = slices.DeleteFunc(slices.Clone(l.Recent), func(w write) bool {
		return slices.ContainsFunc(wants, func(x DesiredRow) bool { return x.Key == w.Key })
	})
	for _, x := range wants {
		l.Recent = append(l.Recent, write{Key: x.Key, Revision: l.Revision})
	}
	l.Recent = l.Recent[max(0, len(l.Recent)-recentWrites):]
	return l
}

// LeaseLostError says that a lease is another's by now; nothing was written.
type LeaseLostError struct {
	Grant Grant
}

// Error implements error.
func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("scheduler: lease %s number %d is lost", e.Grant.Key, e.Grant.Number)
}

// LesseeConfig describes a Lessee. Name must be of one process and start. Term
// is how long a lease row must stand still until another may take it; a holder
// calls Step several times a term. Now is the clock, time.Now if nil.
type LesseeConfig struct {
	Table storer.Table
	Key   string
	Name  string
	Term  time.Duration
	Now   func() time.Time
}

// Lessee holds one lease or waits for it. It is not safe for concurrent use.
type Lessee struct {
	config LesseeConfig
	seen   uint64 // version of the row
	since  time.Time
	known  bool
	last   lease // as read last
}

// NewLessee returns a lessee that holds nothing. It panics if Table is nil or
// Name empty.
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

// Step renews the lease, takes it once it has lapsed, or waits. It costs a
// read, and two reads and a write when it takes or renews. Held is only a
// belief by the time that the caller looks at it: Write is what decides.
func (l *Lessee) Step(ctx context.Context) (grant Grant, held bool, err error) {
	row, err := l.config.Table.Get(ctx, l.config.Key)
	if err != nil {
		return Grant{}, false, err
	}
	var now lease
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &now); err != nil {
			return Grant{}, false, err
		}
	}
	l.last = now
	next := now
	if now.Holder != l.config.Name {
		if row.Version > 0 && !l.lapsed(row.Version) {
			return Grant{}, false, nil
		}
		next.Holder, next.Number = l.config.Name, now.Number+1
	}
	return l.take(ctx, row.Version, next)
}

// Revisions returns the revision of the last write of each wanted row that the
// lease row names, by row key, as of the last step.
func (l *Lessee) Revisions() map[string]uint64 {
	all := make(map[string]uint64, len(l.last.Recent))
	for _, w := range l.last.Recent {
		all[w.Key] = w.Revision
	}
	return all
}

// lapsed reports whether the row has stood still for the term.
func (l *Lessee) lapsed(version uint64) bool {
	now := l.config.Now()
	if !l.known || version != l.seen {
		l.seen, l.since, l.known = version, now, true
	}
	return now.Sub(l.since) >= l.config.Term
}

func (l *Lessee) take(ctx context.Context, version uint64, next lease) (Grant, bool, error) {
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
	var now lease
	if err := json.Unmarshal(row.Value, &now); err != nil {
		return Grant{}, false, err
	}
	held := now.Holder == next.Holder && now.Number == next.Number
	return Grant{Key: l.config.Key, Number: now.Number, Version: row.Version, lease: now}, held, nil
}
