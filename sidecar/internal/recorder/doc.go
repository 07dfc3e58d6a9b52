// Package recorder runs calls that may not be repeated at most once, whoever
// sends them again and through whichever entry.
//
// The row once/ACCOUNT/KEY of the table service is inserted immediately before
// a call is handed to the service. Only the inserter hands it over, and only
// once; its answer is written to the row afterwards and replayed to whoever
// sends the key again. The row is never taken over: when its holder dies, the
// call's outcome is unknown for as long as the row is kept.
//
// # Usage
//
//	r := recorder.New(recorder.Config{Table: table, VM: "vm-7", Boot: boot})
//	defer r.Close()
//	result := r.Do(ctx, recorder.Call{Account: "a", Key: "k", Hash: hash, Attempt: id, Deadline: deadline}, run)
//
// A result is one of: an answer (fresh or replayed); a refusal with outcome
// "not run", given only when run was not called and never will be; a refusal
// with outcome "unknown".
//
// Rows change under a check of their version and are overwritten, not deleted,
// when a claim is voided, so that a write which the table service applies late
// finds another version and changes nothing. docs/design/once.md has the ways
// that were weighed.
package recorder
