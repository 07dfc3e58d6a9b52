// Package verifier finds answers of HTTP/1.1 servers that are broken but that net/http takes
// for whole.
//
// A socket reports a reset of its connection once. If a write of the request takes the report,
// a read that follows sees an ordinary end, and so does the reader of an answer that has no
// length and ends with its connection. A Conn reports the reset to reads too.
//
// The head of an answer is checked before net/http reads it, which accepts statuses below 100
// as those of interim answers, blanks in the names of fields, and some heads that are none of
// HTTP/1.1 (RFC 9112). A field whose name holds a blank is not the one that its sender meant:
// with "Content-Length : 2" the answer has no length for net/http, and more bytes than its
// server gave it. The same holds for chunks in an answer of HTTP/1.0, whose marks net/http
// takes for a part of the body. Names in trailers are checked by the reader that NewBody returns.
//
// # Usage
//
// With the client of net/http:
//
//	c := &http.Client{Transport: verifier.NewTransport(&http.Transport{...})}
//
// With a connection of one's own:
//
//	raw, err := dialer.DialContext(ctx, "tcp", address)
//	c := verifier.NewConn(raw)
//	go c.Write(request)
//	err = c.ExpectHead(nil)
//	answer, err := http.ReadResponse(bufio.NewReader(c), nil) // a *HeadError if the head is broken
//	text, err := io.ReadAll(verifier.NewBody(answer))         // a *BrokenError if the connection broke early
package verifier
