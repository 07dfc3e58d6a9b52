// Package follower keeps a local copy of one table of a store that other
// processes write to. It reads the whole table once, then applies changes as
// they arrive, and reads the whole table again if the store no longer has the
// changes in between.
//
// It tolerates a store that is slow, silent, unreachable, refuses calls or loses
// its history: no row reverts to an older version, failed calls are retried with
// backoff, calls without an answer are repeated, and rows from another follower of
// the table can be merged.
//
// A store may return from an older copy and give out the same versions again. Each
// return begins an era, and versions are compared within an era only. What the store
// has lost is kept until it is written again or Config.Settle has passed. A row that is
// absent from the store may be kept for less, Config.SettleAbsent.
//
// The store implements the interface Source. The package does not interpret the
// values of rows.
//
// # Usage
//
//	f := follower.New(follower.Config{Source: store, Table: "servers", Changed: apply, Applied: publish, Log: l})
//	go f.Run(ctx)
//	other.Merge(f.Rows(), f.Position().Era)
package follower
