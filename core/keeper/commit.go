package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"bamboohill/core/storer"
	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Keys and key prefixes in the table service.
const (
	headKey      = "config/head"
	changePrefix = "config/change/"
	rowPrefix    = "config/row/"
	idPrefix     = "config/id/"
)

// Limits of the retries of one commit.
const (
	maxCommitAttempts = 40
	baseCommitDelay   = 2 * time.Millisecond
	maxCommitDelay    = 50 * time.Millisecond
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	ID      string // chosen by the client; a change with the same id is applied once
	Author  string
	Key     string       // KIND/NAME
	Version uint64       // of the row that the operator saw, 0 if absent
	Force   bool         // ignore Version
	Record  *wire.Record // nil deletes the row
}

// VersionConflictError reports that another change of the row was committed
// first. It holds the row's current version and record and the author of that
// change.
type VersionConflictError struct {
	Key     string
	Version uint64
	Record  *wire.Record
	Author  string
}

// Error implements error.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("keeper: %s was changed concurrently and is now at version %d", e.Key, e.Version)
}

func changeKey(sequence uint64) string { return fmt.Sprintf("%s%020d", changePrefix, sequence) }

// observedRows holds the table rows that a commit attempt is based on.
type observedRows struct {
	head storer.Row
	row  storer.Row
	id   storer.Row
}

// read reads the id after the row, so that a row written by an earlier attempt
// of this change is not taken for another operator's change. It reads the head
// last because every other change updates it.
func (r *observedRows) read(ctx context.Context, table storer.Table, p Proposal) error {
	var err error
	if r.row, err = table.Get(ctx, rowPrefix+p.Key); err != nil {
		return err
	}
	if r.id, err = table.Get(ctx, idPrefix+p.ID); err != nil {
		return err
	}
	r.head, err = table.Get(ctx, headKey)
	return err
}

// adopt replaces the observed rows by those that a conflict reports.
func (r *observedRows) adopt(p Proposal, e *storer.ConflictError) {
	for _, row := range e.Rows {
		switch row.Key {
		case headKey:
			r.head = row
		case rowPrefix + p.Key:
			r.row = row
		case idPrefix + p.ID:
			r.id = row
		}
	}
}

// Commit writes a change. It returns the change as it stands in the log, also
// when the same id was committed before.
//
// After a conflict with another change, Commit retries with exponential backoff
// and jitter, based on the rows that the conflict reports and a new read of the
// head. If the answer of an attempt is lost, Commit reads the id to find out
// whether the attempt took effect.
//
// The error is a *VersionConflictError if the row has another version, a
// *storer.UnavailableError if nothing was written, and a
// *storer.UnknownOutcomeError if the outcome is unknown: retry with the same id.
func Commit(ctx context.Context, table storer.Table, p Proposal) (*wire.Change, error) {
	var seen observedRows
	var unresolved error
	rowsKnown := false
	random := rand.New(rand.NewPCG(xxhash.Sum64String(p.ID), 0))
	for n := range maxCommitAttempts {
		var err error
		if rowsKnown {
			seen.head, err = table.Get(ctx, headKey)
		} else {
			err = seen.read(ctx, table, p)
		}
		if err != nil {
			return nil, commitFailure(err, unresolved)
		}
		c, err := attempt(ctx, table, p, seen)
		var conflict *storer.ConflictError
		var unknown *storer.UnknownOutcomeError
		var unavailable *storer.UnavailableError
		switch {
		case errors.As(err, &conflict):
			seen.adopt(p, conflict)
			rowsKnown = true
		case errors.As(err, &unknown):
			unresolved = err
			rowsKnown = false
		case errors.As(err, &unavailable):
			return nil, commitFailure(err, unresolved)
		default:
			return c, err
		}
		if err := sleep(ctx, time.Duration(random.Int64N(int64(min(baseCommitDelay<<min(n, 6), maxCommitDelay))))); err != nil {
			return nil, commitFailure(err, unresolved)
		}
	}
	return nil, commitFailure(errBusy, unresolved)
}

// commitFailure returns the error of a commit that gives up: a
// *storer.UnknownOutcomeError if an earlier attempt may have taken effect, else
// a *storer.UnavailableError.
func commitFailure(err, unresolved error) error {
	if unresolved != nil {
		return &storer.UnknownOutcomeError{Cause: unresolved}
	}
	var unavailable *storer.UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable
	}
	return &storer.UnavailableError{RetryAfter: time.Second}
}

var errBusy = errors.New("keeper: too many changes at once")

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attempt runs one transaction based on the observed rows.
func attempt(ctx context.Context, table storer.Table, p Proposal, seen observedRows) (*wire.Change, error) {
	if seen.id.Version != 0 {
		return loggedChange(ctx, table, seen.id)
	}
	old, err := decodeChange(seen.row)
	if err != nil {
		return nil, err
	}
	// A deleted row keeps its version, so that a row created again under the
	// same name doesn't match the version of its predecessor.
	if !p.Force && visibleVersion(old) != p.Version {
		return nil, &VersionConflictError{Key: p.Key, Version: visibleVersion(old), Record: old.GetRecord(), Author: old.GetAuthor()}
	}
	return write(ctx, table, p, seen, old)
}

// visibleVersion returns the version that operators see: 0 for an absent row.
func visibleVersion(c *wire.Change) uint64 {
	if c.GetRecord() == nil {
		return 0
	}
	return c.GetVersion()
}

// loggedChange returns the change that an id row refers to, or a change with
// only its sequence number if the log has been trimmed past it.
func loggedChange(ctx context.Context, table storer.Table, id storer.Row) (*wire.Change, error) {
	sequence, err := strconv.ParseUint(string(id.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	entry, err := table.Get(ctx, changeKey(sequence))
	if err != nil {
		// The change was committed: the cause is formatted rather than wrapped, so
		// that errors.As does not find an *UnavailableError.
		return nil, &storer.UnknownOutcomeError{Cause: fmt.Errorf("keeper: change %d can't be read: %s", sequence, err.Error())}
	}
	if entry.Version == 0 {
		return &wire.Change{Sequence: sequence}, nil
	}
	return decodeChange(entry)
}

func write(ctx context.Context, table storer.Table, p Proposal, seen observedRows, old *wire.Change) (*wire.Change, error) {
	last, err := parseHead(seen.head)
	if err != nil {
		return nil, err
	}
	c := &wire.Change{Sequence: last + 1, Id: p.ID, Author: p.Author, Key: p.Key, Version: old.GetVersion() + 1, Record: p.Record}
	value, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	number := []byte(strconv.FormatUint(c.GetSequence(), 10))
	return c, table.Commit(ctx, storer.Txn{
		Checks: []storer.Check{
			{Key: headKey, Version: seen.head.Version},
			{Key: rowPrefix + p.Key, Version: seen.row.Version},
			{Key: idPrefix + p.ID},
		},
		Puts: []storer.Put{
			{Key: headKey, Value: number},
			{Key: rowPrefix + p.Key, Value: value},
			{Key: idPrefix + p.ID, Value: number},
			{Key: changeKey(c.GetSequence()), Value: value},
		},
	})
}

func parseHead(row storer.Row) (uint64, error) {
	if row.Version == 0 {
		return 0, nil
	}
	return strconv.ParseUint(string(row.Value), 10, 64)
}

func decodeChange(row storer.Row) (*wire.Change, error) {
	c := &wire.Change{}
	if row.Version == 0 {
		return c, nil
	}
	return c, proto.Unmarshal(row.Value, c)
}

// Head returns the last sequence number of the log.
func Head(ctx context.Context, table storer.Table) (uint64, error) {
	row, err := table.Get(ctx, headKey)
	if err != nil {
		return 0, err
	}
	return parseHead(row)
}

// tailPageSize is the largest number of changes that one call of Tail returns.
const tailPageSize = 500

// Tail returns the changes after a sequence number in order, at most 500 of
// them.
func Tail(ctx context.Context, table storer.Table, after uint64) ([]*wire.Change, error) {
	rows, err := table.Scan(ctx, changePrefix, changeKey(after), tailPageSize)
	if err != nil {
		return nil, err
	}
	var changes []*wire.Change
	for _, row := range rows {
		c, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}
