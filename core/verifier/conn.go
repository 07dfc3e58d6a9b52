package verifier

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// BrokenError reports a connection that broke before the peer had ended its direction. Err is
// what the kernel reported to a write.
type BrokenError struct {
	Err error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("verifier: connection broken before its end: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *BrokenError) Unwrap() error { return e.Err }

// Conn is a connection to a server. Its reads return io.EOF only if the server has ended its
// direction: if a write has met the failure of the connection, they return a *BrokenError
// instead. They return a *HeadError in place of the bytes of a broken head that is expected.
//
// The end of the server's direction ends a write in progress with os.ErrDeadlineExceeded. At
// most one goroutine may write at a time.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write
	failed  error      // of the first write that failed; guarded by writing

	reading sync.Mutex // guards what follows, not the reads
	heads   heads
	lost    error // of the first read that failed, other than by a deadline
}

// NewConn returns a Conn on an open connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// WriteBuffers writes the content of buffers, in one call of the kernel where it can. It
// consumes the buffers.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.record(err)
	return n, err
}

// record records the result of a write. The caller holds the lock.
func (c *Conn) record(err error) {
	if c.failed == nil {
		c.failed = err
	}
}

// ExpectHead checks the head of the next answer, and those of its interim answers, as they are
// read. The bytes that a buffer above the connection already holds of them are checked at
// once. The error is a *HeadError.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.heads.expect()
	return c.heads.scan(buffered)
}

// Broken returns the *HeadError of the expected head, or nil if its bytes are sound so far. A
// reader of lines may have taken the bytes before the error for a line.
func (c *Conn) Broken() error {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.heads.err
}

// Read implements net.Conn. The first byte of a read comes before a *HeadError, so that the
// answer has begun for the reader: http.Transport sends some requests again that got no byte
// of an answer. After an error other than that of a deadline, all further reads return it.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.readError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return c.examine(p[:n], err)
}

// readError returns the error of earlier reads.
func (c *Conn) readError() error {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.heads.err != nil {
		return c.heads.err
	}
	return c.lost
}

// examine returns what a read returns that got bytes and an error.
func (c *Conn) examine(p []byte, err error) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if broken := c.heads.scan(p); broken != nil {
		return min(1, len(p)), broken
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lost = err
	}
	return len(p), err
}

// end returns what a read returns that has seen the end of the connection. A write in
// progress may have taken the report of a reset without having returned yet. It is
// interrupted, as the peer may read no more.
func (c *Conn) end() error {
	if err := c.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if isBroken(c.failed) {
		return &BrokenError{Err: c.failed}
	}
	return io.EOF
}

// isBroken reports whether the error of a write means that the connection failed before the
// peer ended its direction. A write gets EPIPE if it was reset after that.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
