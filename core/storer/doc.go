// Package storer is the client of the platform's transactional table service,
// its object store and its list of VMs. It is the only package that depends on
// their wire format.
//
// # Usage
//
//	t := storer.NewTable(storer.Config{Address: "127.0.0.1:7000"})
//	err := t.Commit(ctx, storer.Txn{
//		Checks: []storer.Check{{Key: "head", Version: 4}},
//		Puts:   []storer.Put{{Key: "head", Value: value}},
//	})
//
// A transaction is atomic. The result of a commit is one of:
//
//   - nil: it took effect
//   - *ConflictError: it did not; the error holds the rows whose version differs
//   - *UnavailableError: it did not, because the service refused it
//   - *UnknownOutcomeError: it may have; read the rows before acting on them
package storer
