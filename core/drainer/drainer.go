// Package drainer closes the body of an HTTP answer whose last message has been
// read, so that its connection can serve the next request. A body that is
// closed before its end costs the connection.
//
// # Usage
//
//	err := drainer.Close(response.Body)
package drainer

import (
	"io"
	"time"
)

// Bounds of reading a body to its end.
const (
	limit = 10 * time.Millisecond
	most  = 4096 // bytes
)

// Close reads what is left of a body and closes it. The end is expected at
// once: after ten milliseconds, or four kilobytes, the body is closed as it is.
func Close(body io.ReadCloser) error {
	t := time.AfterFunc(limit, func() { body.Close() })
	defer t.Stop()
	io.Copy(io.Discard, io.LimitReader(body, most)) //nolint:errcheck // A body that breaks off is closed all the same.
	return body.Close()
}
