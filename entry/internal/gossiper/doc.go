// Package gossiper connects an entry to the other entries by a gossip protocol.
// It tracks which entries are live and which configuration revision each
// process has active, and it pushes committed changes to the other entries and
// to the sidecars whose heartbeats this entry receives.
//
// # Usage
//
//	g := gossiper.New(gossiper.Config{Address: address, Boot: boot, Seeds: seeds, Keeper: k, Watcher: w})
//	mux.Handle(wire.PeersPathPrefix, g.Handler())
//	go g.Run(ctx)
//	g.Live() // entries to list in heartbeat replies
//
// Entries discover each other by their settings, the platform's list of VMs and
// greetings, the messages of a gossip exchange. Each entry exchanges greetings
// with a few random others. A greeting has a sample of the members that its
// sender knows, each with the time since any entry last received a message from
// it, so that liveness spreads without every entry contacting every other.
//
// An entry considers a member dead if no message from it was reported within
// the silence timeout and it did not answer a greeting of this entry. This
// conclusion is not shared: an entry that is partitioned off considers all
// others dead, and must not convince other entries of that.
package gossiper
