// Package sharer divides a rate of writes to the table service evenly among the
// sidecars that use it, without any calls between the sidecars.
//
// # Usage
//
//	s := sharer.New(sharer.Config{Table: table, Name: "bookings-1", TotalRate: 250, OnShare: recorder.SetRate})
//	go s.Run(ctx)
//
// Once per interval, each sidecar writes the row pace/NAME and reads the rows of
// all sidecars. A sidecar counts as alive if the version of its row changed within
// the last three intervals by the reader's clock. The share of each is the total
// rate divided by the number of sidecars that are alive. A row that has not changed
// for ten intervals is deleted, under a check of its version.
//
// While the table service is unavailable, the last share stays active; nothing is
// written then anyway. The cost per interval and sidecar is one write, and one read
// for each page of 500 rows.
package sharer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bamboohill/core/storer"
)

// prefix is the key prefix of all rows of this package.
const prefix = "pace/"

// Defaults of Config, and limits.
const (
	defaultTotalRate = 250.0
	defaultInterval  = time.Minute
	aliveIntervals   = 3  // longest time without a write of a sidecar that counts as alive, in intervals
	deleteIntervals  = 10 // time without a write after which a row is deleted, in intervals
	pageRows         = 500
	callTimeout      = 2 * time.Second
	retryDelay       = 2 * time.Second // shortest wait after a failed update; jitter adds at most as much again
)

// Config describes a Sharer. A TotalRate of zero means 250 writes per second, an
// Interval of zero one minute. Now is the clock; nil means time.Now.
type Config struct {
	Table     storer.Table
	Name      string  // name of the backend server
	TotalRate float64 // writes per second of all sidecars together
	Interval  time.Duration
	OnShare   func(share float64) // called with the writes per second of this sidecar
	Now       func() time.Time
}

// observation is what a sharer has seen of one row.
type observation struct {
	version uint64
	changed time.Time // when its version was first seen
}

// Sharer computes the share of one sidecar. It is not safe for concurrent use.
type Sharer struct {
	config  Config
	rows    map[string]observation
	updates uint64
}

// New returns a sharer that has not read any rows yet. It panics if Table, Name or
// OnShare is missing.
func New(config Config) *Sharer {
	if config.Table == nil || config.Name == "" || config.OnShare == nil {
		panic("sharer: no table, name or OnShare")
	}
	if config.TotalRate <= 0 {
		config.TotalRate = defaultTotalRate
	}
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Sharer{config: config, rows: map[string]observation{}}
}

// Run calls Update once per interval, with jitter, until the context ends.
func (s *Sharer) Run(ctx context.Context) {
	for {
		wait := s.config.Interval/2 + rand.N(s.config.Interval)
		if s.Update(ctx) != nil {
			wait = retryDelay + rand.N(retryDelay)
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

// Update writes this sidecar's row, reads the rows of all sidecars and calls
// Config.OnShare with the share. It returns the error of the table service if one
// of the first two steps fails.
func (s *Sharer) Update(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.updates++
	own := storer.Put{Key: prefix + s.config.Name, Value: fmt.Append(nil, s.updates)}
	if err := s.config.Table.Commit(ctx, storer.Txn{Puts: []storer.Put{own}}); err != nil {
		return err
	}
	all, err := s.read(ctx)
	if err != nil {
		return err
	}
	now := s.config.Now()
	live := s.observe(all, now)
	s.config.OnShare(s.config.TotalRate / float64(max(1, live)))
	s.clear(ctx, now)
	return nil
}

// read returns the rows of all sidecars.
func (s *Sharer) read(ctx context.Context) ([]storer.Row, error) {
	var all []storer.Row
	for after := ""; ; {
		rows, err := s.config.Table.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < pageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// observe records the versions of all rows and returns how many sidecars are
// alive.
func (s *Sharer) observe(all []storer.Row, now time.Time) int {
	next := make(map[string]observation, len(all))
	live := 0
	for _, row := range all {
		old, known := s.rows[row.Key]
		if !known || old.version != row.Version {
			old = observation{version: row.Version, changed: now}
		}
		next[row.Key] = old
		if now.Sub(old.changed) <= aliveIntervals*s.config.Interval {
			live++
		}
	}
	s.rows = next
	return live
}

// clear deletes the rows that have not changed for deleteIntervals. The
// version check keeps a row that was written since it was read.
func (s *Sharer) clear(ctx context.Context, now time.Time) {
	for key, r := range s.rows {
		if now.Sub(r.changed) <= deleteIntervals*s.config.Interval {
			continue
		}
		txn := storer.Txn{Checks: []storer.Check{{Key: key, Version: r.version}}, Deletes: []string{key}}
		if s.config.Table.Commit(ctx, txn) != nil {
			return
		}
	}
}
