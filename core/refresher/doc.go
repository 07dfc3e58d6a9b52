// Package refresher decides how long an entry's read of a table of the store may wait for
// changes. It answers deployments of many entries, each of which would otherwise ask the
// store again and again whether its own connection still works.
//
// A read that waits is answered as soon as the table changes. It is repeated, though
// nothing has changed, because a connection to the store may go silent: a change must be
// known within a bound all the same. Entries tell each other which changes they have
// applied and when the store last confirmed that there were no others. An entry whose copy
// has all changes that another entry knows is as fresh as that entry's confirmation, and
// its own read may wait long. A few entries, the sentinels, ask often, so that all others
// have fresh confirmations. They are those with the highest hashes among the entries that
// are heard, so that all entries agree about them as far as they agree about who is live;
// more or fewer of them change the number of calls only.
//
// Nothing rests on the sentinels: an entry that has no fresh confirmation, from whichever
// entry, ends its waiting read and asks the store itself. With few entries all of them ask
// by themselves.
//
// # Usage
//
//	r := refresher.New(refresher.Config{Self: "entry", Short: short, Interval: interval, Limit: limit})
//	r.RecordAnswer(position, newest, began)
//	r.ApplyPeer("other entry", refresher.Copy{...}, now)
//	wait, interval := r.Pace(now)
//	if r.Overdue(now) { ... } // end the read that waits
//
// A Refresher has no side effects beyond its own state and is safe for concurrent use. The
// clock is passed in.
package refresher
