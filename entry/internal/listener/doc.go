// Package listener receives the heartbeats of sidecars as datagrams: one packet
// each way instead of an HTTP call.
//
// # Usage
//
//	l := listener.New(listener.Config{OnReport: record, Reply: reply})
//	reply.Pass = l.Grant(report, reply) // in the reply to a heartbeat's call
//	go l.Serve(conn)
//	l.ExpireSessions() // periodically
//
// A sidecar first makes a call, in which TLS authenticates its role. The reply
// grants it a session with a key. Datagrams name the session and end with an
// authentication code made with the key, so that a sender whose call was not
// accepted can't send datagrams either. A session is valid for one boot of one
// server and can't report another. Datagrams carry the difference to the report
// of the call. A datagram that is not newer than the last one is dropped. Dropped
// datagrams get no reply, so that the sidecar makes a call again: an entry that
// was restarted knows no session.
//
// Information of variable length, such as crash suspects and the names of other
// entries, is not sent in datagrams. If it has changed, the reply asks for a
// call. It also does so once a session has reached its maximum age, so that TLS
// authenticates the role again.
package listener
