// Package scheduler decides which models each model engine should have loaded
// and which role it should have, and writes that down so that nobody who lost the right to decide can change
// it.
//
// The right to decide for a failure domain is a lease row of the table
// service. The wanted state of a backend server is a row that is written in a
// transaction which also checks the lease row, so a holder that was paused
// while its lease lapsed changes nothing, whatever it believes. No clock is
// compared between VMs: a lease has lapsed for an observer that has seen its
// row unchanged for the term, on its own monotonic clock. Only the sidecar of
// an engine gives it orders; it converges the engine to the row.
//
// # Usage
//
//	l := scheduler.NewLessee(scheduler.LesseeConfig{Table: table, Key: scheduler.LeaseKey(domain), Name: id, Term: term})
//	grant, held, err := l.Step(ctx)
//	changes := scheduler.Plan(servers, needs, scheduler.Policy{})
//	err = scheduler.Write(ctx, table, grant, rows)
package scheduler
