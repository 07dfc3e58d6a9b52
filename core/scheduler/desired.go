package scheduler

import (
	"context"
	"encoding/json"
	"errors"

	"bamboohill/core/generator"
	"bamboohill/core/storer"
)

// desiredPrefix is the prefix of the keys of rows with desired states.
const desiredPrefix = "order/want/"

// maxDesired is the maximum number of desired states that are read for a failure
// domain.
const maxDesired = 5000

// DesiredKey returns the key of the row with the desired state of a backend
// server.
func DesiredKey(domain, server string) string { return desiredPrefix + domain + "/" + server }

// DesiredState is the desired state of one backend server.
type DesiredState struct {
	Number uint64 `json:"number"` // of the lease under which the row was written
	// Revision is the revision of the failure domain at the write; see
	// Lessee.Revisions.
	Revision uint64            `json:"revision"`
	Models   []generator.Model `json:"models"`
	Role     string            `json:"role,omitempty"` // if empty, the engine keeps its own
}

// DesiredRow is a row with a desired state. Version 0 means that there is none
// yet.
type DesiredRow struct {
	Key     string
	Version uint64
	State   DesiredState
}

// ReadDesired returns the desired state of one backend server.
func ReadDesired(ctx context.Context, table storer.Table, domain, server string) (DesiredRow, error) {
	row, err := table.Get(ctx, DesiredKey(domain, server))
	if err != nil {
		return DesiredRow{}, err
	}
	row.Key = DesiredKey(domain, server)
	return decodeDesired(row)
}

// ReadAllDesired returns the desired states of a failure domain by row key. It
// reads the table once.
func ReadAllDesired(ctx context.Context, table storer.Table, domain string) (map[string]DesiredRow, error) {
	rows, err := table.Scan(ctx, desiredPrefix+domain+"/", "", maxDesired)
	if err != nil {
		return nil, err
	}
	all := map[string]DesiredRow{}
	for _, row := range rows {
		r, err := decodeDesired(row)
		if err != nil {
			return nil, err
		}
		all[row.Key] = r
	}
	return all, nil
}

// decodeDesired decodes a row; a row with version 0 has an empty state.
func decodeDesired(row storer.Row) (DesiredRow, error) {
	r := DesiredRow{Key: row.Key, Version: row.Version}
	if row.Version == 0 {
		return r, nil
	}
	return r, json.Unmarshal(row.Value, &r.State)
}

// Write writes desired states under a lease, in one transaction that checks the
// versions of the lease row and of each row written, and lists the rows in the
// lease row. A grant is good for one write. Write returns a *LeaseLostError if
// the lease was taken or renewed since the grant, and a *storer.ConflictError if
// one of the other rows has changed; in both cases nothing was written.
func Write(ctx context.Context, table storer.Table, grant Grant, rows []DesiredRow) error {
	txn := storer.Txn{Checks: []storer.Check{{Key: grant.Key, Version: grant.Version}}}
	next := grant.lease.withWrites(rows)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	txn.Puts = append(txn.Puts, storer.Put{Key: grant.Key, Value: value})
	for _, r := range rows {
		r.State.Number, r.State.Revision = grant.Number, next.Revision
		value, err := json.Marshal(r.State)
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, storer.Check{Key: r.Key, Version: r.Version})
		txn.Puts = append(txn.Puts, storer.Put{Key: r.Key, Value: value})
	}
	err = table.Commit(ctx, txn)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		for _, row := range conflict.Rows {
			if row.Key == grant.Key {
				return &LeaseLostError{Grant: grant}
			}
		}
	}
	return err
}
