// Package claimer bounds how many backend servers run copies of one request at
// the same time, so that a request which crashes whatever runs it crashes few
// of them, however many copies are sent at one moment and through whichever
// entries. Nobody is suspected before the first crash, so the bound holds for
// every request until a copy of it has finished; from then on copies run
// anywhere for a while.
//
// A Claimer holds the claims of the requests whose home it is. A claim is held
// if the backend servers that run copies, the new one among them, and the
// crashes under copies are Most together at most. A crash counts until a copy
// finishes or the suspicion ends, so that the copies which are sent after it
// wait for those that still run.
//
// The package is pure: the clock is passed in. What is lost with a home, the
// claims of a moment, is not replaced.
//
// # Usage
//
//	c := claimer.New(claimer.Config{})
//	if servers, held := c.Claim(claim, now); !held { ... use one of servers }
//	c.Settle(fingerprint, attempt, claimer.Finished, now)
package claimer
