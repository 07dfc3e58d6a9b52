// Package keeper holds the configuration: the two lists of the operators
// (client accounts with their plans, and what each plan may use) and what is
// in service (failure domains and VMs).
//
// The configuration lives in the table service as one row per item, each with
// a version, and one log: the row "head" holds the last sequence number and
// "change/N" the change of that number. A change is one transaction over the
// expected row version, the row, the log entry, the head and the client's
// change id. A process applies sequence numbers in order and never goes back.
//
// # Usage
//
//	k := keeper.New(keeper.Config{Table: table, Objects: objects})
//	defer k.Stop()
//	k.Refresh(ctx)
//	s := k.State()
//	account, plan, err := s.Identify(key)
package keeper
