// Package sealer protects the datagrams between two processes that share a key:
// each names its session and ends with a code that only a holder of the key can
// make.
//
// # Usage
//
//	key := sealer.NewKey()
//	datagram := sealer.Seal(key, sealer.Beat, session, body)
//	session, found := sealer.Session(datagram)
//	body, err := sealer.Open(key, sealer.Beat, datagram)
//
// The code is HMAC-SHA-256 over the direction, the session and the body, cut to
// 128 bits. The body is not hidden, and a datagram that comes twice opens twice:
// whoever opens it must drop what is not newer than what came before.
package sealer
