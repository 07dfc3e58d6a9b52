// Package averager estimates, in each entry, the mean over all entries of the
// demand for each model, though each sees only its own callers.
//
// An entry keeps one number for each kind of demand. Whenever two entries
// greet each other, both move to the mean of their two numbers. The sum over
// all entries stays the same, and after a few rounds each holds about the mean:
// their number is needed nowhere, and what one keeps and sends does not grow
// with it. Numbers fade, so an error fades too: a reply that is lost moves one
// side alone.
//
// # Usage
//
//	a := averager.New(averager.Config{})
//	a.Note(averager.KindOf(model, version), tokens) // a request
//	a.Fade(factor)                                  // now and then
//	a.Mean(averager.KindOf(model, version))
//
// Between entries, where a greets b:
//
//	sent := a.Snapshot()
//	reply := b.Exchange(sent)
//	a.ApplyReply(sent, reply)
package averager
