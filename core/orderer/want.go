package orderer

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

// WantKey returns the wanted-state row of a backend server.
func WantKey(domain, server string) string { return wantPrefix + domain + "/" + server }

// Want is the wanted state of one backend server.
type Want struct {
	Number uint64 `json:"number"` // of the lease under which it was written
	// Revision rises with each write in the failure domain; see Lessee.Revisions.
	Revision uint64            `json:"revision"`
	Models   []generator.Model `json:"models"`
	Role     string            `json:"role,omitempty"` // empty leaves the engine's own
}

// Wanted is a wanted-state row; Version 0 means that nothing is wanted yet.
type Wanted struct {
	Key     string
	Version uint64
	Want    Want
}

// ReadWant returns the wanted state of one backend server.
func ReadWant(ctx context.Context, table storer.Table, domain, server string) (Wanted, error) {
	row, err := table.Get(ctx, WantKey(domain, server))
	if err != nil {
		return Wanted{}, err
	}
	row.Key = WantKey(domain, server)
	return decodeWant(row)
}

// ReadWants returns the wanted states of a failure domain by row key, in one
// read.
func ReadWants(ctx context.Context, table storer.Table, domain string) (map[string]Wanted, error) {
	rows, err := table.Scan(ctx, wantPrefix+domain+"/", "", wantPage)
	if err != nil {
		return nil, err
	}
	all := map[string]Wanted{}
	for _, row := range rows {
		w, err := decodeWant(row)
		if err != nil {
			return nil, err
		}
		all[row.Key] = w
	}
	return all, nil
}

func decodeWant(row storer.Row) (Wanted, error) {
	w := Wanted{Key: row.Key, Version: row.Version}
	if row.Version == 0 {
		return w, nil
	}
	return w, json.Unmarshal(row.Value, &w.Want)
}

// Write writes wanted states under a lease, in one transaction that checks the
// lease row and the version of each wanted row, and names the servers in the
// lease row. A grant serves for one write. The error is a *LostError if
// the lease has changed hands or was renewed since the grant, a
// *storer.ConflictError if a wanted row has changed; then nothing was written.
func Write(ctx context.Context, table storer.Table, grant Grant, wants []Wanted) error {
	txn := storer.Txn{Checks: []storer.Check{{Key: grant.Key, Version: grant.Version}}}
	next := grant.lease.after(wants)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	txn.Puts = append(txn.Puts, storer.Put{Key: grant.Key, Value: value})
	for _, w := range wants {
		w.Want.Number, w.Want.Revision = grant.Number, next.Revision
		value, err := json.Marshal(w.Want)
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
				return &LostError{Grant: grant}
			}
		}
	}
	return err
}
