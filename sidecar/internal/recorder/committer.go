package recorder

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"bamboohill/core/storer"

	"golang.org/x/time/rate"
)

// Limits of a group of ops that are committed in one transaction, and of the
// queue in front of it.
const (
	maxGroupOps      = 128
	maxGroupBytes    = 256 << 10
	maxGroupAttempts = 3 // commits of one group with an unknown outcome
	queueLength      = 2048
)

// op is a change of one row under a check of the row's version.
type op struct {
	key     string
	version uint64 // expected version of the row, 0 if the row must not exist
	value   []byte
	remove  bool        // delete the row instead
	isClaim bool        // only this op writes this value, so finding the value proves that the op took effect
	dropped func() bool // reports that the change is no longer needed; nil if it is always needed
	done    chan opResult
}

// opResult is the outcome of an op. If both fields are nil, the op took effect.
// conflict is the row as stored, whose version differs from the expected one.
// An err of type *storer.UnavailableError means that the op certainly had no
// effect, errDropped that it was not sent; with any other the outcome is unknown.
type opResult struct {
	conflict *storer.Row
	err      error
}

// errDropped is the result of an op that was dropped before it was sent.
var errDropped = errors.New("recorder: dropped before it was sent")

// committer writes ops to the table, several in one transaction. Within the
// rate limit a group is committed at once; above it, ops queue up and are
// committed together in a later group.
type committer struct {
	table       storer.Table
	limiter     *rate.Limiter
	queue       chan *op
	carryOver   *op // taken from the queue, but to be committed in the next group
	ctx         context.Context
	stats       *Stats
	commitStart atomic.Int64 // start of the current commit, Unix nanoseconds; 0 if there is none
}

// stuck reports whether the current commit has taken longer than limit.
func (c *committer) stuck(limit time.Duration) bool {
	start := c.commitStart.Load()
	return start != 0 && time.Since(time.Unix(0, start)) > limit
}

// submit queues an op. It returns false if the queue is full.
func (c *committer) submit(o *op) bool {
	select {
	case c.queue <- o:
		return true
	default:
		return false
	}
}

// run commits groups until the committer's context ends.
func (c *committer) run() {
	for {
		first := c.next()
		if first == nil {
			return
		}
		if c.limiter.Wait(c.ctx) != nil {
			first.done <- opResult{err: &storer.UnavailableError{RetryAfter: time.Second}}
			return
		}
		c.commit(c.gather(first))
	}
}

// next returns the first op of the next group, or nil if the context ends.
func (c *committer) next() *op {
	if o := c.carryOver; o != nil {
		c.carryOver = nil
		return o
	}
	select {
	case o := <-c.queue:
		return o
	case <-c.ctx.Done():
		return nil
	}
}

// gather returns a group of the first op and those in the queue, with at most
// one op per row.
func (c *committer) gather(first *op) []*op {
	group := []*op{first}
	rows := map[string]bool{first.key: true}
	size := len(first.value)
	for len(group) < maxGroupOps && size < maxGroupBytes {
		select {
		case o := <-c.queue:
			if rows[o.key] {
				c.carryOver = o
				return group
			}
			group = append(group, o)
			rows[o.key] = true
			size += len(o.value)
		default:
			return group
		}
	}
	return group
}

// commit writes a group in one transaction and completes all its ops. After a
// conflict it completes the ops in conflict and commits the others again; after
// an unknown outcome it reads the rows back and commits again what did not take
// effect, up to maxGroupAttempts times.
func (c *committer) commit(group []*op) {
	group = withoutDropped(group)
	for attempts := 0; len(group) > 0; {
		c.stats.countGroup(len(group))
		c.commitStart.Store(time.Now().UnixNano())
		err := c.table.Commit(c.ctx, transaction(group))
		c.commitStart.Store(0)
		var conflict *storer.ConflictError
		var unknown *storer.UnknownOutcomeError
		switch {
		case err == nil:
			finishAll(group, opResult{})
			return
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			rest := resolveConflicts(group, conflict.Rows)
			if len(rest) == len(group) {
				finishAll(rest, opResult{err: &storer.UnknownOutcomeError{Cause: err}})
				return
			}
			group = rest
		case errors.As(err, &unknown):
			attempts++
			rest, readErr := c.readBack(group)
			if len(rest) > 0 && (readErr != nil || attempts == maxGroupAttempts) {
				finishAll(rest, opResult{err: unknown})
				return
			}
			group = rest
		case attempts > 0: // an earlier attempt may have taken effect
			finishAll(group, opResult{err: &storer.UnknownOutcomeError{Cause: err}})
			return
		default:
			finishAll(group, opResult{err: err})
			return
		}
	}
}

// readBack reads the rows of a group whose commit has an unknown outcome,
// completes the ops that took effect and returns the others. A transaction is
// atomic and a claim's value is unique, so a claim that is found in its row
// proves that the whole group took effect. The row of any other op may have the
// intended content for another reason and proves nothing about the group.
func (c *committer) readBack(group []*op) ([]*op, error) {
	if i := slices.IndexFunc(group, func(o *op) bool { return o.isClaim }); i >= 0 {
		applied, err := c.applied(group[i])
		if err != nil || !applied {
			return c.readBackEach(group, err)
		}
		finishAll(group, opResult{})
		return nil, nil
	}
	return c.readBackEach(group, nil)
}

// readBackEach reads the row of every op that is not a claim, completes the ops
// that took effect and returns the others. It stops reading at an error.
func (c *committer) readBackEach(group []*op, err error) ([]*op, error) {
	var rest []*op
	for _, o := range group {
		applied := false
		if err == nil && !o.isClaim {
			applied, err = c.applied(o)
		}
		if applied {
			o.done <- opResult{}
			continue
		}
		rest = append(rest, o)
	}
	return rest, err
}

// applied reads an op's row and reports whether it is as the op would leave it.
func (c *committer) applied(o *op) (bool, error) {
	c.stats.countRead()
	row, err := c.table.Get(c.ctx, o.key)
	if err != nil {
		return false, err
	}
	return o.matches(row), nil
}

// matches reports whether a row is as the op would leave it. Each value is
// unique to one claim and state.
func (o *op) matches(row storer.Row) bool {
	if o.remove {
		return row.Version == 0
	}
	return row.Version > 0 && bytes.Equal(row.Value, o.value)
}

// withoutDropped completes the dropped ops of a group and returns the others.
func withoutDropped(group []*op) []*op {
	var kept []*op
	for _, o := range group {
		if o.dropped != nil && o.dropped() {
			o.done <- opResult{err: errDropped}
			continue
		}
		kept = append(kept, o)
	}
	return kept
}

func transaction(group []*op) storer.Txn {
	var txn storer.Txn
	for _, o := range group {
		txn.Checks = append(txn.Checks, storer.Check{Key: o.key, Version: o.version})
		if o.remove {
			txn.Deletes = append(txn.Deletes, o.key)
			continue
		}
		txn.Puts = append(txn.Puts, storer.Put{Key: o.key, Value: o.value})
	}
	return txn
}

// resolveConflicts completes the ops whose rows conflict and returns the others,
// which can be committed again.
func resolveConflicts(group []*op, rows []storer.Row) []*op {
	conflicts := map[string]storer.Row{}
	for _, row := range rows {
		conflicts[row.Key] = row
	}
	var rest []*op
	for _, o := range group {
		row, found := conflicts[o.key]
		switch {
		case !found:
			rest = append(rest, o)
		case o.matches(row):
			o.done <- opResult{}
		default:
			o.done <- opResult{conflict: &row}
		}
	}
	return rest
}

// finishAll completes all ops of a group with the same result.
func finishAll(group []*op, result opResult) {
	for _, o := range group {
		o.done <- result
	}
}
