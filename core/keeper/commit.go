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

// Keys of the table service.
const (
	headKey      = "config/head"
	changePrefix = "config/change/"
	rowPrefix    = "config/row/"
	idPrefix     = "config/id/"
)

// Bounds of one commit.
const (
	commitTries   = 40
	commitPause   = 2 * time.Millisecond
	commitLongest = 50 * time.Millisecond
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	ID      string // chosen by the client; the same id is applied once
	Author  string
	Key     string       // KIND/NAME
	Version uint64       // of the row that the operator saw, 0 if absent
	Force   bool         // take the row as it is
	Record  *wire.Record // nil deletes the row
}

// VersionConflictError says that another change went before and shows what won.
type VersionConflictError struct {
	Key     string
	Version uint64
	Record  *wire.Record
	Author  string
}

// Error implements error.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("keeper: %s is at version %d by now", e.Key, e.Version)
}

func changeKey(sequence uint64) string { return fmt.Sprintf("%s%020d", changePrefix, sequence) }

// rows is what a try to commit believes to stand in the table.
type rows struct {
	head storer.Row
	row  storer.Row
	id   storer.Row
}

// read reads the id after the row: a row that an earlier try of this change
// wrote can't be taken for another operator's. The head comes last, since it
// is what other changes move.
func (r *rows) read(ctx context.Context, table storer.Table, p Proposal) error {
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

// learn takes over the rows that a conflict shows.
func (r *rows) learn(p Proposal, e *storer.ConflictError) {
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
// when the same id was committed before. A try that loses against another
// change is made again after a pause that grows, from the rows that the
// conflict shows and a new reading of the head; one whose answer is lost is
// resolved by the id. The error is a *VersionConflictError if the row has another version,
// a *storer.UnavailableError if nothing was written, and a *storer.UnknownOutcomeError if
// nobody knows: ask again with the same id.
func Commit(ctx context.Context, table storer.Table, p Proposal) (*wire.Change, error) {
	var seen rows
	var doubt error
	known := false
	random := rand.New(rand.NewPCG(xxhash.Sum64String(p.ID), 0))
	for n := range commitTries {
		var err error
		if known {
			seen.head, err = table.Get(ctx, headKey)
		} else {
			err = seen.read(ctx, table, p)
		}
		if err != nil {
			return nil, giveUp(err, doubt)
		}
		c, err := try(ctx, table, p, seen)
		var conflict *storer.ConflictError
		var lost *storer.UnknownOutcomeError
		var down *storer.UnavailableError
		switch {
		case errors.As(err, &conflict):
			seen.learn(p, conflict)
			known = true
		case errors.As(err, &lost):
			doubt = err
			known = false
		case errors.As(err, &down):
			return nil, giveUp(err, doubt)
		default:
			return c, err
		}
		if err := pause(ctx, time.Duration(random.Int64N(int64(min(commitPause<<min(n, 6), commitLongest))))); err != nil {
			return nil, giveUp(err, doubt)
		}
	}
	return nil, giveUp(errBusy, doubt)
}

// giveUp is the error of a commit that must give up: in doubt if an earlier
// try may have taken effect, else nothing was written.
func giveUp(err, doubt error) error {
	if doubt != nil {
		return &storer.UnknownOutcomeError{Cause: doubt}
	}
	var down *storer.UnavailableError
	if errors.As(err, &down) {
		return down
	}
	return &storer.UnavailableError{RetryAfter: time.Second}
}

var errBusy = errors.New("keeper: too many changes at once")

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// try makes one transaction out of what the table is believed to hold.
func try(ctx context.Context, table storer.Table, p Proposal, seen rows) (*wire.Change, error) {
	if seen.id.Version != 0 {
		return committed(ctx, table, seen.id)
	}
	old, err := decodeChange(seen.row)
	if err != nil {
		return nil, err
	}
	// A deleted row keeps its version: one made again under the same name
	// must not match what an operator saw before.
	if !p.Force && shown(old) != p.Version {
		return nil, &VersionConflictError{Key: p.Key, Version: shown(old), Record: old.GetRecord(), Author: old.GetAuthor()}
	}
	return write(ctx, table, p, seen, old)
}

// shown is the version that operators see: 0 for a row that is absent.
func shown(c *wire.Change) uint64 {
	if c.GetRecord() == nil {
		return 0
	}
	return c.GetVersion()
}

// committed returns the change that an id row points to.
func committed(ctx context.Context, table storer.Table, id storer.Row) (*wire.Change, error) {
	sequence, err := strconv.ParseUint(string(id.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	entry, err := table.Get(ctx, changeKey(sequence))
	if err != nil {
		// The change was made: the cause must not be found as a *UnavailableError.
		return nil, &storer.UnknownOutcomeError{Cause: fmt.Errorf("keeper: change %d can't be read: %s", sequence, err.Error())}
	}
	if entry.Version == 0 {
		return &wire.Change{Sequence: sequence}, nil
	}
	return decodeChange(entry)
}

func write(ctx context.Context, table storer.Table, p Proposal, seen rows, old *wire.Change) (*wire.Change, error) {
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

// tailPage is how many changes one read returns at most.
const tailPage = 500

// Tail returns the changes after a sequence number, in order, up to a page.
func Tail(ctx context.Context, table storer.Table, after uint64) ([]*wire.Change, error) {
	rows, err := table.Scan(ctx, changePrefix, changeKey(after), tailPage)
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
