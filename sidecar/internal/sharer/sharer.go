// Package sharer divides a rate of writes of the table service evenly among the
// sidecars that use it, without any of them asking another.
//
// # Usage
//
//	s := sharer.New(sharer.Config{Table: table, Name: "bookings-1", Bound: 250, Changed: recorder.SetPace})
//	go s.Run(ctx)
//
// Each sidecar writes the row pace/NAME once a period and reads the others'. A
// row whose version has changed in the last three periods, by the reader's own
// clock, is a sidecar that lives; the bound is divided by their number. A row
// that stands still for long is deleted, under a check of its version.
//
// While the table service is away the last share stays in force: nothing is
// written then anyway. The cost is one write, and one read for each page of 500
// rows, a period and sidecar.
package sharer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bamboohill/core/storer"
)

// prefix of every row of this package.
const prefix = "pace/"

// Defaults of Config, and bounds.
const (
	defaultBound = 250.0
	defaultEvery = time.Minute
	livePeriods  = 3  // without a write until a sidecar counts as gone
	oldPeriods   = 10 // until its row is deleted
	page         = 500
	callLimit    = 2 * time.Second
	retryAfter   = 2 * time.Second // of a period's reading that failed
)

// Config describes a Sharer. The zero Bound is 250 writes a second, the zero
// Every a minute; Now is the clock, time.Now if nil.
type Config struct {
	Table     storer.Table
	Name      string  // of the backend server
	TotalRate float64 // writes a second of all sidecars together
	Interval  time.Duration
	OnShare   func(share float64) // writes a second of this one
	Now       func() time.Time
}

// seen is what is known of one row.
type seen struct {
	version uint64
	changed time.Time // when its version was first seen
}

// Sharer follows the rows of one fleet. It is not safe for concurrent use.
type Sharer struct {
	config Config
	rows   map[string]seen
	period uint64
}

// New returns a sharer that has read nothing. It panics without a table, a name
// or Changed.
func New(config Config) *Sharer {
	if config.Table == nil || config.Name == "" || config.OnShare == nil {
		panic("sharer: no table, name or changed")
	}
	if config.TotalRate <= 0 {
		config.TotalRate = defaultBound
	}
	if config.Interval <= 0 {
		config.Interval = defaultEvery
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Sharer{config: config, rows: map[string]seen{}}
}

// Run takes part until the context ends.
func (s *Sharer) Run(ctx context.Context) {
	for {
		wait := s.config.Interval/2 + rand.N(s.config.Interval)
		if s.RunPeriod(ctx) != nil {
			wait = retryAfter + rand.N(retryAfter)
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// RunPeriod writes this sidecar's row, reads all and tells its share.
func (s *Sharer) RunPeriod(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	s.period++
	mine := storer.Put{Key: prefix + s.config.Name, Value: fmt.Append(nil, s.period)}
	if err := s.config.Table.Commit(ctx, storer.Txn{Puts: []storer.Put{mine}}); err != nil {
		return err
	}
	all, err := s.read(ctx)
	if err != nil {
		return err
	}
	now := s.config.Now()
	live := s.note(all, now)
	s.config.OnShare(s.config.TotalRate / float64(max(1, live)))
	s.clear(ctx, now)
	return nil
}

func (s *Sharer) read(ctx context.Context) ([]storer.Row, error) {
	var all []storer.Row
	for after := ""; ; {
		rows, err := s.config.Table.Scan(ctx, prefix, after, page)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < page {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// note takes the rows as they stand and returns how many are of sidecars that
// live.
func (s *Sharer) note(all []storer.Row, now time.Time) int {
	next := make(map[string]seen, len(all))
	live := 0
	for _, row := range all {
		old, known := s.rows[row.Key]
		if !known || old.version != row.Version {
			old = seen{version: row.Version, changed: now}
		}
		next[row.Key] = old
		if now.Sub(old.changed) <= livePeriods*s.config.Interval {
			live++
		}
	}
	s.rows = next
	return live
}

// clear deletes the rows that have stood still for long. One that was written
// meanwhile stays, as its version shows.
func (s *Sharer) clear(ctx context.Context, now time.Time) {
	for key, r := range s.rows {
		if now.Sub(r.changed) <= oldPeriods*s.config.Interval {
			continue
		}
		txn := storer.Txn{Checks: []storer.Check{{Key: key, Version: r.version}}, Deletes: []string{key}}
		if s.config.Table.Commit(ctx, txn) != nil {
			return
		}
	}
}
