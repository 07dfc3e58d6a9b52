// Package quarantiner isolates and blocks the requests that crash backend
// servers. When a backend server crashes, every request that was running on it
// becomes a suspect. A suspect runs again only in isolation, on one backend
// server that all entries select by hashing. A second crash blocks the request
// for a while, however often and through whichever entry it is sent. A suspect
// that finishes in isolation is cleared.
//
// Where no process can isolate a request, Config.TrialInterval sets other rules. An
// innocent request may share several crashed servers, so a blocked one runs once
// more after a while, at one entry at a time; the time doubles with every trial. A
// complete run clears it of the crashes before the run. Two trials that end with a
// crash, without such a run, block it for the whole time.
//
// An accusation reports a crash or, if its field cleared is set, that the request
// has finished in isolation. The package has no I/O and takes the time as an
// argument; the caller distributes the accusations. Entries that recorded the same accusations, in any order and
// any number of times, reach the same decisions.
//
// # Usage
//
//	c := quarantiner.New(quarantiner.Config{})
//	c.Record(accusation, now)
//	switch v := c.Decide(fingerprint, now); v.Mode {
//	case quarantiner.Allowed: ...
//	case quarantiner.Isolated: server, found := quarantiner.ServerFor(fingerprint, servers)
//	case quarantiner.Blocked: ... until v.Until
//	}
package quarantiner
