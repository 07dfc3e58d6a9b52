package scheduler

import (
	"context"
	"errors"
	"strconv"

	"bamboohill/core/storer"
)

// fencingTries is the maximum number of attempts to commit a new fencing token;
// an attempt fails if another process commits one at the same time.
const fencingTries = 8

// fencingKey returns the key of the row with the last fencing token of a backend
// server.
func fencingKey(server string) string { return "order/fence/" + server }

// NextFencingToken returns a fencing token for a backend server that is higher
// than all earlier ones. It returns a *storer.ConflictError if all attempts
// conflict.
func NextFencingToken(ctx context.Context, table storer.Table, server string) (uint64, error) {
	var conflict *storer.ConflictError
	for range fencingTries {
		row, err := table.Get(ctx, fencingKey(server))
		if err != nil {
			return 0, err
		}
		last, err := parseFencingToken(row)
		if err != nil {
			return 0, err
		}
		err = table.Commit(ctx, storer.Txn{
			Checks: []storer.Check{{Key: fencingKey(server), Version: row.Version}},
			Puts:   []storer.Put{{Key: fencingKey(server), Value: strconv.AppendUint(nil, last+1, 10)}},
		})
		if err == nil {
			return last + 1, nil
		}
		if !errors.As(err, &conflict) {
			return 0, err
		}
	}
	return 0, conflict
}

// LastFencingToken returns the highest fencing token that was issued for a
// backend server, 0 if there is none.
func LastFencingToken(ctx context.Context, table storer.Table, server string) (uint64, error) {
	row, err := table.Get(ctx, fencingKey(server))
	if err != nil {
		return 0, err
	}
	return parseFencingToken(row)
}

func parseFencingToken(row storer.Row) (uint64, error) {
	if row.Version == 0 {
		return 0, nil
	}
	return strconv.ParseUint(string(row.Value), 10, 64)
}
