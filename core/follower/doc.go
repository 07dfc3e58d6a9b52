// Package follower keeps a copy of one table of a store that others write to:
// read whole once, then its changes as they come, whole again when the store has
// forgotten what came between. It answers the patterns in which the store is
// slow, away, turns this process away or loses its history: the copy never goes
// back, calls back off, and what another process knows is taken as well.
//
// The store is behind the port Source; what rows mean is the caller's business.
//
// # Usage
//
//	f := follower.New(follower.Config{Source: store, Table: "servers", Changed: apply, Settled: publish, Log: l})
//	go f.Run(ctx)
//	others.Take(f.Rows())
package follower
