package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"bamboohill/core/connector"
	"bamboohill/core/tallier"
	"bamboohill/core/viewer"
	"bamboohill/entry/internal/spooler"
)

// initialBytes is the initial size of the buffer for a body or an answer of unknown length,
// and growthFactor the factor by which it grows.
const (
	initialBytes = 4 << 10
	growthFactor = 2
)

// errNoMemory means that the bounds of the bytes held don't allow more.
var errNoMemory = errors.New("the memory for requests is used up")

// readAll reads up to limit bytes from r, and one more to detect that there are more. It
// calls hold for the size of the buffer before it is allocated, and before it grows for the
// difference. A length of at least 0 is that of the whole content. If hold fails, readAll
// returns what it has read and errNoMemory.
func readAll(r io.Reader, length, limit int64, hold func(n int64) bool) ([]byte, error) {
	size := min(limit+1, int64(initialBytes))
	if length >= 0 {
		size = min(limit, length) + 1 // one more, so that the end is seen without growth
	}
	if !hold(size) {
		return nil, errNoMemory
	}
	b := make([]byte, 0, size)
	for int64(len(b)) <= limit {
		if len(b) == cap(b) {
			larger := min(limit+1, int64(cap(b))*growthFactor)
			if !hold(larger - int64(cap(b))) {
				return b, errNoMemory
			}
			b = append(make([]byte, 0, larger), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// readBody reads the whole body, as the request may have to be sent again. It returns the
// status and reason of a refusal, or zero. Memory for a body of known length is reserved
// before any of it is read.
func (x *exchange) readBody(limits viewer.Limits) (int, string) {
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	if x.r.ContentLength > maxBytes {
		return http.StatusRequestEntityTooLarge, "body too large"
	}
	x.bodies = x.forwarder.Bytes.Open(x.account, tallier.Bodies)
	if x.r.ContentLength == 0 {
		return 0, ""
	}
	x.forwarder.reading.Add(x, x.stopReading)
	body, err := readAll(x.r.Body, x.r.ContentLength, maxBytes, x.bodies.Reserve)
	x.forwarder.reading.Begin(x)
	if err != nil && x.forwarder.ending.Load() {
		x.sendElsewhere()
		return http.StatusServiceUnavailable, errStopping.Error()
	}
	if errors.Is(err, errNoMemory) {
		x.forwarder.Meter.Add("refused_memory", 1)
		x.w.Header().Set("Connection", "close") // net/http would first read the rest of the body
		return http.StatusServiceUnavailable, err.Error()
	}
	if err != nil {
		return http.StatusBadRequest, "body: " + err.Error()
	}
	if int64(len(body)) > maxBytes {
		return http.StatusRequestEntityTooLarge, "body too large"
	}
	x.body = body
	return 0, ""
}

// stopReading ends the reading of the body with an error.
func (x *exchange) stopReading() {
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now()) // fails if the caller has left
}

// defaultBodyBytes is the maximum body size if the configuration has none, enough
// for a million tokens of text.
const defaultBodyBytes = 4 << 20

// readAnswer reads an answer up to maxBufferedBytes+1 bytes. The error is errNoMemory if the
// bounds don't allow to hold more than what it returns.
func (x *exchange) readAnswer(answer *connector.Answer) ([]byte, error) {
	if x.answers == nil {
		x.answers = x.forwarder.Bytes.Open(x.account, tallier.Answers)
	}
	return readAll(answer, answer.Length, maxBufferedBytes, x.answers.Extend)
}

// releaseAnswers ends the account of the answers that were read as a whole, releaseBytes that
// of all bytes that the request holds other than those that the connection keeps.
func (x *exchange) releaseAnswers() {
	if x.answers != nil {
		x.answers.Close()
	}
}

func (x *exchange) releaseBytes() {
	x.releaseAnswers()
	if x.bodies != nil {
		x.bodies.Close()
	}
}

// awaitCaller waits until the caller has taken what its connection keeps of the answer, at
// most until the deadline of the request. The connection is reset otherwise.
func (x *exchange) awaitCaller(ctx context.Context, c *spooler.Conn) {
	x.releaseAnswers()
	if err := c.Wait(ctx); err != nil {
		x.forwarder.Meter.Add("ended_unread", 1)
		x.forwarder.Log.Info().Str("event", "unread").Str("id", x.call.Attempt).Str("account", x.account).
			Float64("after_ms", millis(time.Since(x.received))).Str("cause", err.Error()).Msg("")
	}
}

// readers returns the servers that take the bodies they are sent: those where the body of
// the request fits best beside what waits. It returns all of them for a small body.
func (x *exchange) readers(servers []*viewer.Server) []*viewer.Server {
	x.fit, x.takers = tallier.FitsShare, len(servers)
	if len(x.body) < connector.AsyncWriteBytes || len(servers) == 0 {
		return servers
	}
	fits := make(map[viewer.ServerID]tallier.Fit, len(servers))
	x.fit = tallier.Exceeds
	for _, s := range servers {
		fits[s.ID] = x.forwarder.Bytes.Fit(string(s.ID), len(servers), int64(len(x.body)))
		x.fit = min(x.fit, fits[s.ID])
	}
	reading := slices.DeleteFunc(slices.Clone(servers), func(s *viewer.Server) bool { return fits[s.ID] > x.fit })
	if len(reading) < len(servers) {
		x.forwarder.Meter.Add("servers_passed_over", 1)
	}
	return reading
}

// placeBody counts the body of the request as waiting at the server of a placement until it
// has been written or is not sent there. It reports false if other bodies have taken the
// room since readers found it.
func (x *exchange) placeBody(p *placement) bool {
	p.taken = func() {}
	n, server := int64(len(x.body)), string(p.server.ID)
	if n < connector.AsyncWriteBytes {
		return true
	}
	if !x.forwarder.Bytes.Place(server, x.takers, n, x.fit) {
		return false
	}
	p.taken = func() { x.forwarder.Bytes.Take(server, n) }
	return true
}
