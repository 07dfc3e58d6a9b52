// Package sealer authenticates the datagrams between two processes that share a
// key. Each datagram contains its session number and ends with a message
// authentication code (MAC) that only a holder of the key can compute.
//
// # Usage
//
//	key := sealer.NewKey()
//	datagram := sealer.Seal(key, sealer.Beat, session, body)
//	session, found := sealer.Session(datagram)
//	body, err := sealer.Open(key, sealer.Beat, datagram)
//
// The MAC is HMAC-SHA-256 over the direction, the session and the body, truncated
// to 128 bits. The body is not encrypted. Open accepts a replayed datagram, so the
// receiver must drop datagrams that are not newer than those already received.
package sealer
