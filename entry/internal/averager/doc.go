// Package averager estimates, in each entry, the mean demand for each model
// over all entries, although each entry sees only the requests of its own
// callers. It implements push-pull gossip averaging.
//
// An entry keeps one number of tokens for each kind of demand. In a gossip
// exchange, both entries set their numbers to the mean of the two. The sum over
// all entries stays the same, and after a few rounds each entry holds about the
// mean. The number of entries is not needed, and the size of the state and of
// the messages does not grow with it. The numbers decay over time, so errors
// decay too: a lost reply updates only one of the two entries.
//
// # Usage
//
//	a := averager.New(averager.Config{})
//	a.Record(averager.KindOf(model, version), tokens) // for each request
//	a.Decay(factor)                                   // periodically
//	a.Mean(averager.KindOf(model, version))
//
// When entry a starts a gossip exchange with entry b:
//
//	sent := a.Snapshot()
//	reply := b.Exchange(sent)
//	a.ApplyReply(sent, reply)
package averager
