// Package recorder runs each non-repeatable call at most once, no matter which
// client resends it and through which entry.
//
// The row once/ACCOUNT/KEY of the table service is inserted immediately before
// a call is sent to the service, and only the sidecar that inserted the row
// sends the call, once. It then stores the answer in the row, and a client that
// sends the same key again gets a replay of that answer. No other sidecar takes
// over the row: if its owner dies, the outcome of the call is unknown for as
// long as the row is kept.
//
// # Usage
//
//	r := recorder.New(recorder.Config{Table: table, VM: "vm-7", Boot: boot})
//	defer r.Close()
//	result := r.Do(ctx, recorder.Call{Account: "a", Key: "k", Hash: hash, Attempt: id, Deadline: deadline}, run)
//
// A result is one of: an answer (fresh or replayed); a refusal with outcome
// "not run", given only if run was not called and never will be; a refusal
// with outcome "unknown".
//
// Every write checks the version of its row. A voided claim is overwritten, not
// deleted, so that a write which the table service applies late finds another
// version and has no effect. docs/design/once.md compares the alternatives.
package recorder
