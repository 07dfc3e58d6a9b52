// Package keeper holds the configuration: the two lists of the operators
// (client accounts with their plans, and what each plan may use) and what is
// in service (failure domains and VMs).
//
// The configuration lives in the table service as one row per item, each with
// a version, and one log: the row "head" holds the last sequence number and
// "change/N" the change of that number. A change is one transaction over the
// expected row version, the row, the log entry, the head and the client's
// change id. A process applies sequence numbers in order and never goes back.
// Every thousandth change its writer puts a snapshot in the object store and
// trims the log behind it.
//
// A process that can't read the store takes the highest sequence number among
// several peers. Until it has read the store or enough peers it is not ready.
//
// # Usage
//
//	k := keeper.New(keeper.Config{Table: table, Objects: objects, Peers: peers})
//	defer k.Stop()
//	go k.Poll(ctx, time.Second, nil)
//	s := k.State()
//	account, plan, err := s.Identify(key)
package keeper
