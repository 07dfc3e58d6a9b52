// Package spooler provides connections to callers whose writes don't wait for a caller that
// reads slowly, so that the answer of a backend server is read on in time.
//
// A write passes its bytes to the kernel directly. Only what the kernel does not take is
// kept, in memory that a [tallier.Tallier] counts, and written by a goroutine that ends once
// everything is written. A caller that reads in time costs no goroutine and no copy.
//
// A connection keeps at most Config.Buffer bytes. A write beyond that waits; it fails, and
// the connection is reset, if the caller takes nothing for Config.Patience. The reset makes
// visible that the answer is incomplete. Bytes are always written in their order, and after
// a failure none are.
//
// # Usage
//
//	listener = spooler.Listen(listener, spooler.Config{Tallier: t})
//	server.ConnContext = spooler.WithConn
//	... in a handler:
//	c := spooler.From(r.Context())
//	c.Begin(account, deadline)
//	... write the answer ...
//	err := c.Wait(ctx) // until the caller has taken what was kept
package spooler
