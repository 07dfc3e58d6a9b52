// Package gossiper joins an entry to the others: who lives, who has which
// configuration in force, and the spread of committed changes to entries and
// to the sidecars that this entry hears.
//
// # Usage
//
//	g := gossiper.New(gossiper.Config{Address: inner, Boot: boot, Seeds: seeds, Keeper: k, Watcher: w})
//	mux.Handle(wire.PeersPathPrefix, g.Handler())
//	go g.Run(ctx)
//	g.Live() // entries to name in heartbeat replies
//
// Entries find each other by settings, by the platform's list of VMs and by
// each other's greetings. Each greets a few others at random; a greeting
// carries a sample of what its sender knows, each member with the time since
// anybody heard it, so that hearing spreads though nobody greets everybody.
//
// A member is gone when it is both silent and shown not to answer a greeting
// of this entry. Nobody is told that a member is gone: an entry that is cut
// off thinks so of everybody, and keeps that to itself.
package gossiper
