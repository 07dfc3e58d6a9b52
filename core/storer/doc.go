// Package storer is the port to the platform's transactional table service and
// object store: the only package that knows their wire format.
//
// # Usage
//
//	t := storer.NewTable(storer.Config{Address: "127.0.0.1:7000"})
//	err := t.Commit(ctx, storer.Txn{
//		Checks: []storer.Check{{Key: "head", Version: 4}},
//		Puts:   []storer.Put{{Key: "head", Value: value}},
//	})
//
// A transaction takes effect whole or not at all. Its result is one of: nil
// (it took effect), *ConflictError (it did not; the rows that differ are
// given), *UnavailableError (it did not, the service said so), *UnknownOutcomeError (nobody
// knows: read back before acting).
package storer
