// Package scheduler decides which models each model engine should have loaded
// and which role it should have. It stores that as desired state, in such a way
// that a process which has lost its lease can't change it.
//
// The right to decide for a failure domain is a lease, kept in a row of the
// table service. The desired state of a backend server is a row that is written
// in a transaction which also checks the lease row. A holder that was paused
// while its lease expired therefore changes nothing, even if it has not noticed
// the loss. Clocks of different VMs are never compared: an observer considers a
// lease expired if it has seen the row unchanged for the term, on its own
// monotonic clock. Only the sidecar of an engine sends orders to the engine, to
// bring it to the desired state.
//
// # Usage
//
//	l := scheduler.NewLessee(scheduler.LesseeConfig{
//		Table: table, Key: scheduler.LeaseKey(domain), Name: id, Term: term,
//	})
//	grant, held, err := l.Step(ctx)
//	change := scheduler.Plan(servers, demands, scheduler.Policy{})
//	err = scheduler.Write(ctx, table, grant, rows)
package scheduler
