// Package eventer cuts a stream of server-sent events at event boundaries, so
// that only whole events are passed on and a stream can go on elsewhere behind
// the last of them.
//
// # Usage
//
//	var c eventer.Cutter
//	whole, err := c.Take(bytes)
//	// write whole; c.Last() is the id to go on behind
package eventer

import (
	"bytes"
	"errors"
)

// MostPending bounds the bytes of one event.
const MostPending = 1 << 20

// ErrLong is returned for an event longer than MostPending.
var ErrLong = errors.New("eventer: event too long")

// Cutter holds the part of an event that has arrived. The zero value is ready.
type Cutter struct {
	pending []byte
	last    string
	events  int
}

// Take adds bytes of the stream and returns those that complete events, up to
// the end of the last whole one. The result is valid until the next call.
func (c *Cutter) Take(p []byte) ([]byte, error) {
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
	if len(c.pending)-end > MostPending {
		return nil, ErrLong
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

func (c *Cutter) note(event []byte) {
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

// Last returns the id of the last whole event; it is empty if none had one.
func (c *Cutter) Last() string { return c.last }

// Events returns the number of whole events.
func (c *Cutter) Events() int { return c.events }

// Pending returns the number of bytes of an event that is not whole.
func (c *Cutter) Pending() int { return len(c.pending) }

// Drop forgets the part of an event that has arrived: the stream goes on
// elsewhere, behind the last whole one.
func (c *Cutter) Drop() { c.pending = nil }
