// Package verifier finds answers of HTTP/1.1 servers that are broken but that net/http takes
// for whole.
//
// A socket reports a reset of its connection once. If a write of the request takes the report,
// a read that follows sees an ordinary end, and so does the reader of an answer that has no
// length and ends with its connection. A Conn reports the reset to reads too.
//
// # Usage
//
//	raw, err := dialer.DialContext(ctx, "tcp", address)
//	c := verifier.NewConn(raw)
//	go c.Write(request)
//	answer, err := io.ReadAll(c) // an error if the connection was reset before the end
package verifier
