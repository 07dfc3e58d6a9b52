package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	Fresh  bool // takes a new connection
	Kept   int  // most idle connections kept to the server afterwards; 0 means the settings' bound
	// Mine reports whether an answer with the header belongs to this request.
	Mine func(http.Header) bool
}

// Bounds of what is passed over.
const (
	strayAnswers = 4
	strayBytes   = 1 << 20
)

// writeAhead is the size of a request, in bytes, from which it is written while
// the answer is awaited: a server may answer before it has read it.
const writeAhead = 8 << 10

// errStray is returned when answers of other requests keep coming.
var errStray = errors.New("answer of another request")

// Send sends a request and returns the head of its answer. The error is an
// *Error.
func (c *Connector) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	k, err := c.get(ctx, address, r.Fresh)
	if err != nil {
		return nil, &Error{Address: address, Phase: "dial", Err: err}
	}
	a := &Answer{connector: c, conn: k, kept: r.Kept, written: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, func() { _ = k.Close() }) // wakes whoever reads or writes
	deadline, _ := ctx.Deadline()
	if err := k.SetDeadline(deadline); err != nil {
		a.Close()
		return nil, &Error{Address: address, Phase: "write", Err: err}
	}
	if err := a.write(encode(r)); err != nil {
		a.Close()
		return nil, &Error{Address: address, Sent: true, Phase: "write", Err: err}
	}
	if err := a.head(r); err != nil {
		a.Close()
		return nil, &Error{Address: address, Sent: true, Phase: "read", Err: err}
	}
	return a, nil
}

func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
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
	b.Write(r.Body)
	return b.Bytes()
}

// write sends the request, a large one in the background.
func (a *Answer) write(text []byte) error {
	if len(text) < writeAhead {
		_, err := a.conn.Write(text)
		a.written <- nil
		return err
	}
	go func() {
		_, err := a.conn.Write(text)
		a.written <- err
	}()
	return nil
}

// head reads answers until one belongs to the request.
func (a *Answer) head(r Request) error {
	for range strayAnswers {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // Close ends the exchange with its connection
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine(response.Header) {
			a.take(response)
			return nil
		}
		if response.Close || !framed(response) {
			return errStray
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes)); err != nil || n == strayBytes {
			return errStray
		}
	}
	return errStray
}

func framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// Answer is the answer to one request. Its body is read with Read. It is not
// safe for concurrent use.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body; negative if not announced
	Framed bool  // whether the end of the body can be told from a cut

	connector *Connector
	conn      *conn
	kept      int
	body      io.ReadCloser
	close     bool
	idle      time.Duration
	whole     bool
	written   chan error
	stop      func() bool
}

func (a *Answer) take(r *http.Response) {
	a.Status, a.Header, a.Length, a.Framed = r.StatusCode, r.Header, r.ContentLength, framed(r)
	a.body, a.close = r.Body, r.Close
	a.idle = keepAlive(r.Header)
}

// keepAlive returns how long the server keeps an idle connection, less what a
// request may take to arrive.
func keepAlive(h http.Header) time.Duration {
	const margin = 300 * time.Millisecond
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - margin
		}
	}
	return time.Hour
}

// Read reads the body. It returns io.EOF only behind a whole one.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if it is clean.
func (a *Answer) Close() {
	if !a.stop() || !a.clean() {
		_ = a.conn.Close() // the request is over, one way or the other
		return
	}
	a.connector.put(a.conn, a.idle, a.kept)
}

// clean reports whether the next answer on the connection will be that of the
// next request.
func (a *Answer) clean() bool {
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
