// Package listener takes the heartbeats of sidecars as datagrams: one packet
// there and one back, in place of a call.
//
// # Usage
//
//	l := listener.New(listener.Config{Hear: hear, Reply: reply, Every: every})
//	reply.Pass = l.Grant(report, reply) // in the answer to a heartbeat's call
//	go l.Serve(conn)
//	l.Tick() // now and then
//
// A sidecar first calls, where TLS proves its role; the answer grants it a
// session of its own with a key. Datagrams name the session and end with a code
// made with the key, so that whoever was not let in by a call is not heard by
// datagram either. A session is for one server and one boot: it can tell of no
// other. Datagrams carry what differs from the report of the call; those that
// are not newer than the last one are dropped. Whatever is dropped is dropped
// without an answer, so that the sidecar calls again: an entry that started anew
// knows no session.
//
// What an entry has to say at length (crash suspects, other entries' names) is
// not sent by datagram. The answer then asks for a call, as it does once a
// session is old, so that TLS proves the role again.
package listener
