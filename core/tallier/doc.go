// Package tallier keeps account of the bytes that a process holds for requests, by what
// holds them and by client account, and decides what is refused when they reach a bound.
//
// It answers the load of many callers that send large bodies, read their answers slowly,
// or both, at a process with little memory. Two bounds apply to the sum of all bytes:
//
//   - Above the soft bound, new work ([Share.Reserve]) of an account is refused once the
//     account holds more than an equal share of the soft bound and all bodies hold a quarter
//     of the hard bound. Accounts that hold less are served until the hard bound. Below the
//     soft bound nobody is refused.
//   - Answers under way ([Share.Extend]) may use all bytes up to the hard bound, less that
//     quarter. There the answer whose caller has read nothing for the longest time gives way.
//
// It also counts the bytes of requests that each backend server has not taken yet.
// Each event has constant cost. Nothing here does input or output.
//
// # Usage
//
//	t := tallier.New(tallier.Config{Bound: 64 << 20})
//	s := t.Open(account, tallier.Bodies)
//	defer s.Close()
//	if !s.Reserve(length) { ... refuse the request ... }
package tallier
