// Package splitter cuts a stream of server-sent events at event boundaries, so
// that only whole events are passed on and a stream can go on elsewhere behind
// the last of them.
//
// # Usage
//
//	var c splitter.Splitter
//	whole, err := c.Take(bytes)
//	// write whole; c.Last() is the id to go on behind
package splitter

import (
	"bytes"
	"errors"
)

// MaxPendingBytes bounds the bytes of one event.
const MaxPendingBytes = 1 << 20

// ErrTooLong is returned for an event longer than MostPending.
var ErrTooLong = errors.New("eventer: event too long")

// Splitter holds the part of an event that has arrived. The zero value is ready.
type Splitter struct {
	pending []byte
	last    string
	events  int
}

// Feed adds bytes of the stream and returns those that complete events, up to
// the end of the last whole one. The result is valid until the next call.
func (c *Splitter) Feed(p []byte) ([]byte, error) {
	c.pending = append(c.pending, p...)
	end := 0
	for {
		n := boundary(c.pending[end:])
		if n < 0 {
			break
		}
		c.note(c.pending[end : end+n])
		end += n
	}
	if len(c.pending)-end > MaxPendingBytes {
		return nil, ErrTooLong
	}
	whole := c.pending[:end:end]
	c.pending = bytes.Clone(c.pending[end:])
	return whole, nil
}

// boundary returns the length of the first whole event, or -1.
func boundary(b []byte) int {
	best := -1
	for _, mark := range [...]string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(mark)); i >= 0 && (best < 0 || i+len(mark) < best) {
			best = i + len(mark)
		}
	}
	return best
}

func (c *Splitter) note(event []byte) {
	counted := false
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "id":
			c.last = string(bytes.TrimPrefix(value, []byte(" ")))
			counted = true
		case "data":
			counted = true
		}
	}
	if counted {
		c.events++
	}
}

// LastID returns the id of the last whole event; it is empty if none had one.
func (c *Splitter) LastID() string { return c.last }

// Events returns the number of whole events.
func (c *Splitter) Events() int { return c.events }

// PendingBytes returns the number of bytes of an event that is not whole.
func (c *Splitter) PendingBytes() int { return len(c.pending) }

// DiscardPending forgets the part of an event that has arrived: the stream goes on
// elsewhere, behind the last whole one.
func (c *Splitter) DiscardPending() { c.pending = nil }
