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

// snapshotKey is the row that holds the sequence number of the newest snapshot.
const snapshotKey = "config/snapshot"

// Bounds of the archive, in changes.
const (
	archiveEvery = 1000 // between two snapshots
	archiveLook  = 50   // between two looks whether one is due
	archiveKeep  = 5000 // of the log and the change ids before a snapshot
	trimPage     = 50   // log entries deleted in one transaction
)

// snapshotName is the object of one snapshot. Its content follows from its
// name, so writers of the same one can't harm each other, and a writer that
// was paused can't overwrite a newer one.
func snapshotName(sequence uint64) string { return fmt.Sprintf("config-snapshot-%020d", sequence) }

// Commit writes a change as the function Commit does, one at a time in this
// process, and puts it in force here. Whoever commits writes the snapshot that
// has come due.
func (k *Keeper) Commit(ctx context.Context, p Proposal) (*wire.Change, error) {
	if err := take(ctx, k.writing); err != nil {
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

// Archive writes a snapshot if one has come due at this sequence number, and
// trims the log behind it. An error leaves the log whole; a later change tries
// again.
func (k *Keeper) Archive(ctx context.Context, sequence uint64) error {
	if k.config.Objects == nil || sequence%archiveLook != 0 {
		return nil
	}
	mark, err := k.config.Table.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	last, err := parseHead(mark)
	if err != nil {
		return err
	}
	s := k.State()
	if s.Sequence < last+archiveEvery {
		return nil
	}
	return k.archive(ctx, s, mark)
}

func (k *Keeper) archive(ctx context.Context, s *State, mark storer.Row) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Snapshot())
	if err != nil {
		return err
	}
	if err := k.config.Objects.Put(ctx, snapshotName(s.Sequence), data); err != nil {
		return err
	}
	// Only an object that can be read back lets the log go.
	if _, err := k.readSnapshot(ctx, s.Sequence); err != nil {
		return err
	}
	err = k.config.Table.Commit(ctx, storer.Txn{
		Checks: []storer.Check{{Key: snapshotKey, Version: mark.Version}},
		Puts:   []storer.Put{{Key: snapshotKey, Value: []byte(strconv.FormatUint(s.Sequence, 10))}},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil || s.Sequence <= archiveKeep {
		return err
	}
	return trim(ctx, k.config.Table, s.Sequence-archiveKeep)
}

// trim deletes the log entries up to a sequence number with their change ids,
// each pair in one transaction that demands the entry: one that is paused and
// goes on later deletes nothing that was written since.
func trim(ctx context.Context, table storer.Table, last uint64) error {
	for {
		page, err := table.Scan(ctx, changePrefix, "", trimPage)
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

// fromSnapshot takes the newest snapshot into force.
func (k *Keeper) fromSnapshot(ctx context.Context) error {
	if k.config.Objects == nil {
		return errTail
	}
	mark, err := k.config.Table.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	sequence, err := parseHead(mark)
	if err != nil {
		return err
	}
	if sequence <= k.State().Sequence {
		return errTail
	}
	s, err := k.readSnapshot(ctx, sequence)
	if err != nil {
		return err
	}
	return k.ApplyBatch(ctx, &wire.Batch{Snapshot: s})
}
