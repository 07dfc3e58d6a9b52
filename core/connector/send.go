package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboohill/core/verifier"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	Fresh  bool // always use a new connection
	// ID is what Matches tells the answer by. A server may write an answer once more on a
	// connection, so the request is sent on one on which none with its ID was sent.
	ID string
	// AnyAnswer allows such a connection: nothing depends on the answer.
	AnyAnswer bool
	// MaxIdle is the number of idle connections that the server can take from this
	// process; no more are kept after the request. 0 means Config.MaxIdle.
	MaxIdle int
	// Sent, if not nil, is called before the first byte is sent.
	Sent func()
	// Writing and Written, if not nil, are called before a request of at least
	// AsyncWriteBytes is written, and once its write has ended, with its size. Written is
	// called from another goroutine.
	Writing, Written func(n int)
	// Matches reports whether an answer with the given header belongs to this
	// request.
	Matches func(http.Header) bool
	// Skipped, if not nil, is called with the status and header of an answer that Matches
	// rejects.
	Skipped func(int, http.Header)
}

// Limits on answers to other requests that are skipped.
const (
	maxUnmatchedAnswers = 4       // heads read for one request, including interim answers
	maxUnmatchedBytes   = 1 << 20 // body of one skipped answer
)

// headBytes is the expected size of the head of a request.
const headBytes = 512

// AsyncWriteBytes is the size from which the body of a request is written in the background
// while the answer is awaited, because a server may answer before it has read
// the whole request.
const AsyncWriteBytes = 8 << 10

// errUnmatched is returned if no answer to the request arrives within the limits,
// or if the end of another request's answer cannot be determined, as where one of the two
// may answer a HEAD.
var errUnmatched = errors.New("answer of another request")

// Send sends a request and returns its answer once the head has been read. The
// context also bounds reading the body. The error is an *Error.
func (c *Connector) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	k, err := c.get(ctx, address, r)
	if err != nil {
		return nil, &Error{Address: address, Phase: "dial", Err: err}
	}
	k.heads = k.heads || r.Method == http.MethodHead
	a := &Answer{connector: c, conn: k, maxIdle: r.MaxIdle, written: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, k.reset) // unblocks reads and writes
	deadline, _ := ctx.Deadline()
	if err := k.SetDeadline(deadline); err != nil {
		a.Close()
		return nil, &Error{Address: address, Phase: "write", Err: err}
	}
	if r.Sent != nil {
		r.Sent()
	}
	if err := a.write(encode(r), r); err != nil {
		a.Close()
		return nil, &Error{Address: address, Sent: true, Phase: "write", Err: err}
	}
	if err := a.head(r); err != nil {
		a.Close()
		return nil, &Error{Address: address, Sent: true, Phase: "read", Err: err}
	}
	return a, nil
}

// encode returns the head of a request in HTTP/1.1 wire format, followed by its body if the
// request is to be sent at once.
func encode(r Request) []byte {
	var b bytes.Buffer
	together := len(r.Body) < AsyncWriteBytes
	if b.Grow(headBytes); together {
		b.Grow(headBytes + len(r.Body))
	}
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if together {
		b.Write(r.Body)
	}
	return b.Bytes()
}

// write sends the request; one with a body of at least AsyncWriteBytes is sent in the
// background, without a copy of the body.
func (a *Answer) write(text []byte, r Request) error {
	if len(r.Body) < AsyncWriteBytes {
		_, err := a.conn.Write(text)
		a.written <- nil
		return err
	}
	size := len(text) + len(r.Body)
	if r.Writing != nil {
		r.Writing(size)
	}
	go func() {
		_, err := a.conn.WriteBuffers(&net.Buffers{text, r.Body})
		if r.Written != nil {
			r.Written(size)
		}
		a.written <- err
	}()
	return nil
}

// head reads answer heads until one belongs to the request.
func (a *Answer) head(r Request) error {
	for range maxUnmatchedAnswers {
		a.conn.limiter.begin()
		if err := a.conn.expectHead(); err != nil {
			return err
		}
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // Close ends the exchange with its connection
		if err != nil && a.conn.limiter.left <= 0 {
			return ErrHeadTooLong // instead of an error about a line that was cut
		}
		if broken := a.conn.Broken(); broken != nil {
			return broken
		}
		if err != nil {
			return err
		}
		a.conn.limiter.end()
		if isGlued(response) {
			return errGlued
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches(response.Header) {
			a.setHead(response)
			return nil
		}
		if r.Skipped != nil {
			r.Skipped(response.StatusCode, response.Header)
		}
		if a.conn.heads || response.Close || !isDelimited(response) {
			return errUnmatched
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedBytes)); err != nil || n == maxUnmatchedBytes {
			return errUnmatched
		}
	}
	return errUnmatched
}

// expectHead checks the next head, of which the buffer may hold a part. The error is a
// *verifier.HeadError.
func (k *conn) expectHead() error {
	buffered, err := k.reader.Peek(k.reader.Buffered())
	if err != nil {
		return err
	}
	return k.ExpectHead(buffered)
}

// isDelimited reports whether the end of the body is marked by its length or
// its encoding rather than by the end of the connection.
func isDelimited(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// Answer is the answer to a request. Read reads its body; Close must be called
// in the end. It is not safe for concurrent use.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; negative if unknown
	Framed bool  // whether a complete body can be distinguished from a truncated one

	connector *Connector
	conn      *conn
	maxIdle   int
	body      io.ReadCloser
	close     bool
	idle      time.Duration
	whole     bool
	written   chan error
	stop      func() bool
}

func (a *Answer) setHead(r *http.Response) {
	a.Status, a.Header, a.Length, a.Framed = r.StatusCode, r.Header, r.ContentLength, isDelimited(r)
	a.body, a.close = verifier.NewBody(r), r.Close
	a.idle = keepAlive(r.Header)
}

// maxIdle is the longest time for which a server is taken to keep an idle connection open.
const maxIdle = time.Hour

// keepAlive returns how long the server keeps an idle connection open, less a
// margin for the time in which a request reaches it. Without a Keep-Alive header
// it returns maxIdle.
func keepAlive(h http.Header) time.Duration {
	const margin = 300 * time.Millisecond
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(min(seconds, int(maxIdle.Seconds())))*time.Second - margin
		}
	}
	return maxIdle
}

// Read reads the body. It returns io.EOF only at the end of a complete body. The body of an
// answer without a length that ends while the request is being written is complete if the
// server ended its direction, and not if the connection was reset. The end of a body whose
// trailer is broken is a *verifier.HeadError.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. It returns the connection to the pool if the connection can be
// reused, resets it if the answer has not been read whole, and closes it otherwise.
func (a *Answer) Close() {
	switch {
	case !a.stop() || !a.whole:
		a.conn.reset()
	case a.isReusable():
		a.connector.put(a.conn, a.idle, a.maxIdle)
	default:
		_ = a.conn.Close() // the exchange has ended
	}
}

// isReusable reports whether the next answer on the connection will belong to the
// next request.
func (a *Answer) isReusable() bool {
	if !a.whole || a.close || !a.Framed || a.conn.reader.Buffered() > 0 || a.idle <= 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil && a.conn.SetDeadline(time.Time{}) == nil
	default:
		return false
	}
}
