// Package verifier finds answers of HTTP/1.1 servers that are broken but that net/http takes
// for whole.
//
// A socket reports a reset of its connection once. If a write of the request takes the report,
// a read that follows sees an ordinary end, and so does the reader of an answer that has no
// length and ends with its connection. A Conn reports the reset to reads too.
//
// The head of an answer is checked before net/http reads it, which accepts statuses below 100
// as those of interim answers, and some heads that are none of HTTP/1.1 (RFC 9112).
//
// # Usage
//
//	raw, err := dialer.DialContext(ctx, "tcp", address)
//	c := verifier.NewConn(raw)
//	go c.Write(request)
//	err = c.ExpectHead(nil)
//	answer, err := http.ReadResponse(bufio.NewReader(c), nil) // a *HeadError if the head is broken
//	body, err := io.ReadAll(answer.Body)                      // a *BrokenError if the connection broke early
package verifier
