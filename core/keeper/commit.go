package keeper

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"bamboohill/core/storer"
	"bamboohill/wire"

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
	commitTries = 8
	commitPause = 20 * time.Millisecond
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

// RaceError says that another change went before and shows what won.
type RaceError struct {
	Key     string
	Version uint64
	Record  *wire.Record
	Author  string
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("keeper: %s is at version %d by now", e.Key, e.Version)
}

func changeKey(sequence uint64) string { return fmt.Sprintf("%s%020d", changePrefix, sequence) }

// Commit writes a change. It returns the change as it stands in the log, also
// when the same id was committed before. The error is a *RaceError if the row
// has another version, a *storer.DownError if nothing was written, and a
// *storer.DoubtError if nobody knows: ask again with the same id.
func Commit(ctx context.Context, table storer.Table, p Proposal) (*wire.Change, error) {
	for range commitTries {
		c, err := tryCommit(ctx, table, p)
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			return c, err
		}
		if err := pause(ctx, commitPause); err != nil {
			return nil, err
		}
	}
	return nil, &storer.DownError{Retry: time.Second}
}

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

func tryCommit(ctx context.Context, table storer.Table, p Proposal) (*wire.Change, error) {
	if c, err := committed(ctx, table, p.ID); c != nil || err != nil {
		return c, err
	}
	head, err := table.Get(ctx, headKey)
	if err != nil {
		return nil, err
	}
	row, err := table.Get(ctx, rowPrefix+p.Key)
	if err != nil {
		return nil, err
	}
	old, err := decodeChange(row)
	if err != nil {
		return nil, err
	}
	if !p.Force && old.GetVersion() != p.Version {
		return nil, &RaceError{Key: p.Key, Version: old.GetVersion(), Record: old.GetRecord(), Author: old.GetAuthor()}
	}
	return write(ctx, table, p, head, row, old)
}

// committed returns the change of an id, nil if there is none.
func committed(ctx context.Context, table storer.Table, id string) (*wire.Change, error) {
	row, err := table.Get(ctx, idPrefix+id)
	if err != nil || row.Version == 0 {
		return nil, err
	}
	sequence, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	entry, err := table.Get(ctx, changeKey(sequence))
	if err != nil {
		return nil, err
	}
	return decodeChange(entry)
}

func write(ctx context.Context, table storer.Table, p Proposal, head, row storer.Row, old *wire.Change) (*wire.Change, error) {
	last, err := parseHead(head)
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
			{Key: headKey, Version: head.Version},
			{Key: rowPrefix + p.Key, Version: row.Version},
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
