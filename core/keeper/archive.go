package keeper

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"bamboohill/core/storer"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// snapshotKey is the key of the row that holds the sequence number of the
// newest snapshot.
const snapshotKey = "config/snapshot"

// Snapshot and retention settings, in changes.
const (
	snapshotInterval      = 1000 // between two snapshots
	snapshotCheckInterval = 50   // between two checks whether a snapshot is due
	retainedChanges       = 5000 // log entries and change ids kept before a snapshot
	trimBatchSize         = 50   // log entries deleted in one transaction
)

// snapshotName returns the object name of the snapshot at a sequence number. The
// name determines the content, so concurrent writers of one snapshot write the
// same data, and a writer that was paused can't overwrite a newer snapshot.
func snapshotName(sequence uint64) string { return fmt.Sprintf("config-snapshot-%020d", sequence) }

// Commit writes a change as the function Commit does, one at a time in this
// process, and applies it to the local state. If it can't be applied directly,
// Commit refreshes the state from the store. The caller should call Archive
// afterwards, which writes a snapshot if one is due.
func (k *Keeper) Commit(ctx context.Context, p Proposal) (*wire.Change, error) {
	if err := acquire(ctx, k.writing); err != nil {
		return nil, &storer.UnavailableError{}
	}
	defer func() { <-k.writing }()
	c, err := Commit(ctx, k.config.Table, p)
	if err != nil {
		return nil, err
	}
	k.Observe(c.GetSequence())
	if k.ApplyBatch(ctx, &wire.Batch{Changes: []*wire.Change{c}}) != nil {
		k.Refresh(ctx)
	}
	return c, nil
}

// Archive writes a snapshot if one is due at this sequence number, and trims
// the log before it. If the snapshot can't be written and read back, the log is
// not trimmed; a later change tries again.
func (k *Keeper) Archive(ctx context.Context, sequence uint64) error {
	if k.config.Objects == nil || sequence%snapshotCheckInterval != 0 {
		return nil
	}
	newest, err := k.config.Table.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	last, err := parseHead(newest)
	if err != nil {
		return err
	}
	s := k.State()
	if s.Sequence < last+snapshotInterval {
		return nil
	}
	return k.archive(ctx, s, newest)
}

func (k *Keeper) archive(ctx context.Context, s *State, newest storer.Row) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Snapshot())
	if err != nil {
		return err
	}
	if err := k.config.Objects.Put(ctx, snapshotName(s.Sequence), data); err != nil {
		return err
	}
	// The log is trimmed only after the snapshot has been read back.
	if _, err := k.readSnapshot(ctx, s.Sequence); err != nil {
		return err
	}
	err = k.config.Table.Commit(ctx, storer.Txn{
		Checks: []storer.Check{{Key: snapshotKey, Version: newest.Version}},
		Puts:   []storer.Put{{Key: snapshotKey, Value: []byte(strconv.FormatUint(s.Sequence, 10))}},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil || s.Sequence <= retainedChanges {
		return err
	}
	return trim(ctx, k.config.Table, s.Sequence-retainedChanges)
}

// trim deletes the log entries up to and including a sequence number, each with
// its change id in the same transaction. The transaction checks the version of
// each entry, so a trim that is paused and continues later deletes nothing that
// was written since.
func trim(ctx context.Context, table storer.Table, last uint64) error {
	for {
		page, err := table.Scan(ctx, changePrefix, "", trimBatchSize)
		if err != nil {
			return err
		}
		var txn storer.Txn
		for _, row := range page {
			c, err := decodeChange(row)
			if err != nil {
				return err
			}
			if c.GetSequence() > last {
				break
			}
			txn.Checks = append(txn.Checks, storer.Check{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key, idPrefix+c.GetId())
		}
		if len(txn.Deletes) == 0 {
			return nil
		}
		if err := table.Commit(ctx, txn); err != nil {
			return err
		}
	}
}

func (k *Keeper) readSnapshot(ctx context.Context, sequence uint64) (*wire.Snapshot, error) {
	data, err := k.config.Objects.Get(ctx, snapshotName(sequence))
	if err != nil {
		return nil, err
	}
	s := &wire.Snapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if s.GetSequence() != sequence {
		return nil, &GapError{Have: s.GetSequence(), Got: sequence}
	}
	return s, nil
}

// fromSnapshot applies the newest snapshot. It returns an error if there is no
// snapshot newer than the state.
func (k *Keeper) fromSnapshot(ctx context.Context) error {
	if k.config.Objects == nil {
		return errIncompleteLog
	}
	newest, err := k.config.Table.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	sequence, err := parseHead(newest)
	if err != nil {
		return err
	}
	if sequence <= k.State().Sequence {
		return errIncompleteLog
	}
	s, err := k.readSnapshot(ctx, sequence)
	if err != nil {
		return err
	}
	return k.ApplyBatch(ctx, &wire.Batch{Snapshot: s})
}
