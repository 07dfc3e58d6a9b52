// Package splitter splits a stream of server-sent events at event boundaries, so
// that only complete events are forwarded and a stream can be resumed at another
// server after the last of them.
//
// # Usage
//
//	var s splitter.Splitter
//	complete, err := s.Feed(bytes)
//	// forward complete; s.LastID() is the id to resume after
package splitter

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// MaxPendingBytes is the largest size of an incomplete event.
const MaxPendingBytes = 1 << 20

// ErrTooLong is returned for an incomplete event longer than MaxPendingBytes.
var ErrTooLong = errors.New("splitter: event too long")

// EventID is the id of an event.
type EventID string

// NotEventError reports bytes where an event is due that are none, such as the head or the
// text of an error.
type NotEventError struct {
	Line string // the first line that belongs to no event, shortened
}

// Error implements error.
func (e *NotEventError) Error() string {
	return fmt.Sprintf("splitter: %q is not part of an event", e.Line)
}

// OrderError reports an event that does not continue the stream that broke off.
type OrderError struct {
	Last EventID // of the event before it
	ID   EventID // of the event; empty if it has none
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("splitter: event %q does not follow event %q", string(e.ID), string(e.Last))
}

// Splitter holds the received part of an incomplete event. The zero value is
// ready to use. It is not safe for concurrent use.
type Splitter struct {
	pending   []byte
	last      EventID
	events    int
	numbered  bool // the last event had an id by which a stream can be resumed
	gaps      bool // the ids so far do not count the events one by one
	continues bool // the stream broke off and what is fed continues it
	owed      bool // what came after the last event was no whole event
}

// After returns a splitter of a stream whose reader has the events up to last; it has none
// if last is empty.
func After(last EventID) Splitter { return Splitter{last: last} }

// Feed adds bytes of the stream and returns the events that are now complete and may be
// forwarded, also with an error. The result is valid until the next call. After an error
// nothing more of the same answer may be fed. The error is ErrTooLong, a *NotEventError or
// an *OrderError.
func (s *Splitter) Feed(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end := 0
	var err error
	for {
		n := boundary(s.pending[end:])
		if n < 0 {
			break
		}
		if err = s.record(s.pending[end : end+n]); err != nil {
			break
		}
		end += n
	}
	if err == nil && len(s.pending)-end > MaxPendingBytes {
		err = ErrTooLong
	}
	if end == 0 {
		return nil, err
	}
	complete := s.pending[:end:end]
	s.pending = bytes.Clone(s.pending[end:])
	return complete, err
}

// boundary returns the length of the first complete event in bytes, or -1.
func boundary(b []byte) int {
	shortest := -1
	for _, separator := range [...]string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(separator)); i >= 0 && (shortest < 0 || i+len(separator) < shortest) {
			shortest = i + len(separator)
		}
	}
	return shortest
}

// event is what the splitter knows of a complete event.
type event struct {
	hasID, hasData bool
	id             EventID
	fields         bool // it is more than comments
}

// parse reads the lines of a complete event. The error is a *NotEventError.
func parse(text []byte) (event, error) {
	var e event
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isFieldName(name) {
			const shown = 80
			return event{}, &NotEventError{Line: string(line[:min(len(line), shown)])}
		}
		e.fields = e.fields || len(name) > 0
		switch string(name) {
		case "id":
			e.hasID, e.id = true, EventID(bytes.TrimPrefix(value, []byte(" ")))
		case "data":
			e.hasData = true
		}
	}
	return e, nil
}

// isFieldName reports whether a line of an event may begin with name. Fields have names in
// lower case; comments and the empty line have none.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// record takes a complete event into account. The error is a *NotEventError or an
// *OrderError.
func (s *Splitter) record(text []byte) error {
	e, err := parse(text)
	if err != nil {
		return err
	}
	if s.continues && e.fields && !s.follows(e.id) {
		return &OrderError{Last: s.last, ID: e.id}
	}
	if !e.hasID && !e.hasData {
		return nil
	}
	number, isNumber := e.id.number()
	before, _ := s.last.number() // 0 at the start
	s.gaps = s.gaps || !isNumber || number != before+1
	s.numbered = isNumber
	s.owed = false
	if e.hasID {
		s.last = e.id
	}
	s.events++
	return nil
}

// follows reports whether an event with the given id may continue the stream: the id is
// greater than the last one, and the next one if ids have counted the events so far.
func (s *Splitter) follows(id EventID) bool {
	last, _ := s.last.number() // it is one, as the stream was resumed
	n, isNumber := id.number()
	return isNumber && n > last && (s.gaps || n == last+1)
}

// number returns the id as a number, and whether it is one.
func (id EventID) number() (uint64, bool) {
	n, err := strconv.ParseUint(string(id), 10, 64)
	return n, err == nil
}

// LastID returns the last id among the complete events, or that given to After, or "" if
// there is none.
func (s *Splitter) LastID() string { return string(s.last) }

// Events returns the number of complete events with an id or data.
func (s *Splitter) Events() int { return s.events }

// PendingBytes returns the number of received bytes of an incomplete event.
func (s *Splitter) PendingBytes() int { return len(s.pending) }

// Owed reports whether the stream broke off within an event, or within bytes that may hold
// the begin of one, and no event has come since, so that it is not known to be complete.
func (s *Splitter) Owed() bool { return s.owed }

// CanResume reports whether another server can continue the stream: no event is complete,
// or the last one has a number as its id.
func (s *Splitter) CanResume() bool { return s.events == 0 || s.numbered }

// DiscardPending discards the received part of an incomplete event, for a stream that is
// resumed at another server after the last complete event. From then on Feed accepts only
// events that continue the stream, if an event was complete.
func (s *Splitter) DiscardPending() {
	s.owed = s.owed || len(s.pending) > 0
	s.pending = nil
	s.continues = s.events > 0
}
