package scheduler

import (
	"context"
	"encoding/json"
	"errors"

	"bamboohill/core/generator"
	"bamboohill/core/storer"
)

// wantPrefix of wanted-state rows.
const wantPrefix = "order/want/"

// wantPage is how many wanted rows of a failure domain are read at most.
const wantPage = 5000

// DesiredKey returns the wanted-state row of a backend server.
func DesiredKey(domain, server string) string { return wantPrefix + domain + "/" + server }

// DesiredState is the wanted state of one backend server.
type DesiredState struct {
	Number uint64 `json:"number"` // of the lease under which it was written
	// Revision rises with each write in the failure domain; see Lessee.Revisions.
	Revision uint64            `json:"revision"`
	Models   []generator.Model `json:"models"`
	Role     string            `json:"role,omitempty"` // empty leaves the engine's own
}

// DesiredRow is a wanted-state row; Version 0 means that nothing is wanted yet.
type DesiredRow struct {
	Key     string
	Version uint64
	State   DesiredState
}

// ReadDesired returns the wanted state of one backend server.
func ReadDesired(ctx context.Context, table storer.Table, domain, server string) (DesiredRow, error) {
	row, err := table.Get(ctx, DesiredKey(domain, server))
	if err != nil {
		return DesiredRow{}, err
	}
	row.Key = DesiredKey(domain, server)
	return decodeWant(row)
}

// ReadAllDesired returns the wanted states of a failure domain by row key, in one
// read.
func ReadAllDesired(ctx context.Context, table storer.Table, domain string) (map[string]DesiredRow, error) {
	rows, err := table.Scan(ctx, wantPrefix+domain+"/", "", wantPage)
	if err != nil {
		return nil, err
	}
	all := map[string]DesiredRow{}
	for _, row := range rows {
		w, err := decodeWant(row)
		if err != nil {
			return nil, err
		}
		all[row.Key] = w
	}
	return all, nil
}

func decodeWant(row storer.Row) (DesiredRow, error) {
	w := DesiredRow{Key: row.Key, Version: row.Version}
	if row.Version == 0 {
		return w, nil
	}
	return w, json.Unmarshal(row.Value, &w.State)
}

// Write writes wanted states under a lease, in one transaction that checks the
// lease row and the version of each wanted row, and names the servers in the
// lease row. A grant serves for one write. The error is a *LostError if
// the lease has changed hands or was renewed since the grant, a
// *storer.ConflictError if a wanted row has changed; then nothing was written.
func Write(ctx context.Context, table storer.Table, grant Grant, wants []DesiredRow) error {
	txn := storer.Txn{Checks: []storer.Check{{Key: grant.Key, Version: grant.Version}}}
	next := grant.lease.after(wants)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	txn.Puts = append(txn.Puts, storer.Put{Key: grant.Key, Value: value})
	for _, w := range wants {
		w.State.Number, w.State.Revision = grant.Number, next.Revision
		value, err := json.Marshal(w.State)
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, storer.Check{Key: w.Key, Version: w.Version})
		txn.Puts = append(txn.Puts, storer.Put{Key: w.Key, Value: value})
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
