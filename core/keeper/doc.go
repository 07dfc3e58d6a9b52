// Package keeper holds the configuration: the two lists that operators edit
// (client accounts with their plans, and what each plan may use) and which
// failure domains and VMs are in service.
//
// The configuration is stored in the table service as one row per item, each
// with a version, and one log: the row "head" holds the last sequence number and
// "change/N" the change with that number. A change is one transaction that
// checks the row version and writes the row, the log entry, the head and the
// client's change id. A process applies changes in order of sequence number and
// never reverts one. After every 1000 changes a writer stores a snapshot in the
// object store and trims the log before it.
//
// A process that can't read the store takes the configuration with the highest
// sequence number among several peers. It is not ready until it has read the
// store or enough peers.
//
// # Usage
//
//	k := keeper.New(keeper.Config{Table: table, Objects: objects, Peers: peers})
//	defer k.Stop()
//	go k.Poll(ctx, time.Second, nil)
//	s := k.State()
//	account, plan, err := s.Identify(key)
package keeper
