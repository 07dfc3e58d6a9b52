// Package claimer limits the number of backend servers that run copies of one
// request at the same time. A request that crashes every server on which it runs
// then crashes few of them, however many copies are sent at once and through
// whichever entries. Such a request cannot be recognized before its first crash.
// The limit therefore applies to every request until a copy of it has finished;
// after that, copies may run anywhere for a while.
//
// A Claimer holds the claims of the requests that are assigned to it. It grants a
// claim if the number of servers that run copies, including the new one, plus the
// number of crashes of copies is at most MaxServers. A crash counts until a copy
// finishes or CrashMemory has passed, so copies that are sent after a crash wait
// for the running ones.
//
// The package has no I/O and takes the time as an argument. Claims are held in
// memory only: if the process that holds them fails, they are lost.
//
// # Usage
//
//	c := claimer.New(claimer.Config{})
//	if servers, granted := c.Claim(claim, now); !granted { ... use one of servers }
//	c.Settle(fingerprint, attempt, claimer.Finished, now)
package claimer
