// Package sharer divides what the backend servers of a service do among client accounts
// when there is too little of it. It answers loads in which a few large accounts, one
// account that repeats often, or one with only the largest prompts would take the room
// from all others.
//
// Each entry records the work that accounts ask for and the work that is placed for them,
// as sums that decay within seconds, and entries tell each other these sums while work
// goes unserved. The sums give the max-min fair share of a service: the level up to which
// each account's demand is met, so that the accounts below it get all that they ask for
// and the others get the same. While room is not short no account is held back, whatever
// it uses.
//
// A Sharer decides nothing: it says what an account has got relative to its share, by which
// waiting requests are ordered.
//
// # Usage
//
//	s := sharer.New()
//	s.RecordDemand("service", "account", work, now)
//	s.RecordUse("service", "account", work, now)
//	s.RecordShortage("service", now)
//	standing := s.Standing("service", "account", now)
//	peer.ApplyPeer("entry", s.Own(now), now)
//
// A Sharer has no side effects beyond its own state, is safe for concurrent use and does
// not survive the process: after a restart the sums are those of new requests and of the
// other entries. The clock is passed in.
package sharer
