// Package gauger estimates how much slower each backend server works than others of its
// service, from the answers that it gives. It is designed for services whose servers are
// unlike each other, or some of which become slow for a while under load: placed as if
// they were alike, requests wait at the slow ones while others have room.
//
// Two measures are used. A pass of a model engine is compared with the duration that the
// description of the engine predicts for its known load. The duration of a call of a plain
// service is compared with the usual one of its route at this entry. Each entry divides by
// the median over the servers of the service, so that an entry that is slow itself does
// not take servers for slow, and tells the others what deviates. An estimate counts only
// if it deviates by more than its error and the dead band: the Slowdown of servers that
// are alike is exactly 1.
//
// Estimates belong to one run of a server. They lose weight while no answer shows them,
// and are dropped after some seconds, so that a server that gets no requests is tried
// again.
//
// The package has no I/O and takes the time as an argument.
//
// # Usage
//
//	g := gauger.New()
//	g.RecordPass("service", run, observed, predicted, now)
//	g.RecordCall("service", "route", run, took, now)
//	g.ApplyPeer("entry", speeds, now)
//	slowdown := g.Slowdown(run, now)
package gauger
