package scheduler

import (
	"context"
	"errors"
	"strconv"

	"bamboohill/core/storer"
)

// fenceTries bounds the races for one fencing number.
const fenceTries = 8

func fenceKey(server string) string { return "order/fence/" + server }

// NextFencingToken returns a fencing number for a backend server, higher than any
// that was returned before.
func NextFencingToken(ctx context.Context, table storer.Table, server string) (uint64, error) {
	var conflict *storer.ConflictError
	for range fenceTries {
		row, err := table.Get(ctx, fenceKey(server))
		if err != nil {
			return 0, err
		}
		last, err := parseFence(row)
		if err != nil {
			return 0, err
		}
		err = table.Commit(ctx, storer.Txn{
			Checks: []storer.Check{{Key: fenceKey(server), Version: row.Version}},
			Puts:   []storer.Put{{Key: fenceKey(server), Value: strconv.AppendUint(nil, last+1, 10)}},
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

// LastFencingToken returns the highest fencing number of a backend server.
func LastFencingToken(ctx context.Context, table storer.Table, server string) (uint64, error) {
	row, err := table.Get(ctx, fenceKey(server))
	if err != nil {
		return 0, err
	}
	return parseFence(row)
}

func parseFence(row storer.Row) (uint64, error) {
	if row.Version == 0 {
		return 0, nil
	}
	return strconv.ParseUint(string(row.Value), 10, 64)
}
