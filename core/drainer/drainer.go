// Package drainer closes the body of an HTTP response whose last message has been
// read, so that its connection can be reused. If a body is closed before its end
// is read, the connection is closed too.
//
// # Usage
//
//	err := drainer.Close(response.Body)
package drainer

import (
	"io"
	"time"
)

// Limits on reading a body to its end.
const (
	timeout  = 10 * time.Millisecond
	maxBytes = 4096
)

// Close reads the rest of a body, up to 4096 bytes or for ten milliseconds, and
// closes it. The body should already be at its end; if it is not, Close closes it
// without reading the remainder. Close returns the error of closing the body and
// ignores errors of reading it.
func Close(body io.ReadCloser) error {
	t := time.AfterFunc(timeout, func() { body.Close() })
	defer t.Stop()
	io.Copy(io.Discard, io.LimitReader(body, maxBytes)) //nolint:errcheck // A body that breaks off is closed all the same.
	return body.Close()
}
