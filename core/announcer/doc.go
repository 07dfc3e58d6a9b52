// Package announcer decides when an entry sends its next datagram to the other
// entries of its cell. Every entry receives the datagrams of all others, so that
// the work of receiving them grows with their number. Entries that learn late of
// a placement choose the same engine for other prompts; they lose little if they
// learn late that a request has ended. Placements are therefore announced at
// once, and other changes at a rate that falls with the number of peers.
//
// The load that it answers: bursts of prompts that reach a hundred entries, each
// of which places a few prompts a second.
//
// # Usage
//
//	a := announcer.New()
//	a.Change(announcer.Placed, now)
//	time.Sleep(a.Due().Sub(now))
//	... // send a datagram to each peer
//	a.Sent(peers, now)
//
// Placements are bounded too: on average an entry sends no more than one datagram
// in 8 ms and 1 ms for each peer. An Announcer reads no clock. Its methods may be
// called by one goroutine at a time, except Delay.
package announcer
