package screener

import (
	"time"

	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// Copies of an accusation that Urgent returns, since datagrams may be lost, and
// the time between them.
const (
	urgentCopies   = 3
	urgentInterval = 250 * time.Millisecond
)

// urgent is an accusation that was made by this process and that other processes
// don't know yet.
type urgent struct {
	accusation *wire.Accusation
	recorded   time.Time
	due        time.Time // when the next copy is due
	copies     int       // copies left
}

// Accuse records an accusation or a clearance that this process has made, queues
// it for Urgent if it was new, and reports whether it was.
func (s *Screener) Accuse(accusation *wire.Accusation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.suspects.Record(accusation, now) {
		return false
	}
	s.queue(accusation, now)
	return true
}

// queue adds an accusation to those that Urgent returns. The caller holds the lock.
func (s *Screener) queue(accusation *wire.Accusation, now time.Time) {
	s.outbox = append(s.outbox, urgent{accusation: accusation, recorded: now, due: now, copies: urgentCopies})
	s.signal()
}

func (s *Screener) signal() {
	select {
	case s.changed <- struct{}{}:
	default: // a signal is pending
	}
}

// Changed returns a channel that receives a value when Urgent has accusations to
// return. Later copies are due without a further value.
func (s *Screener) Changed() <-chan struct{} { return s.changed }

// Urgent returns at most n accusations that are to be sent to all other processes
// now.
func (s *Screener) Urgent(n int) []*wire.Accusation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var due []*wire.Accusation
	kept := s.outbox[:0]
	for _, u := range s.outbox {
		switch {
		case now.Before(u.due):
		case len(due) == n:
			s.signal()
		default:
			due = append(due, withAge(u.accusation, now.Sub(u.recorded)))
			u.due = now.Add(urgentInterval)
			u.copies--
		}
		if u.copies > 0 {
			kept = append(kept, u)
		}
	}
	clear(s.outbox[len(kept):])
	s.outbox = kept
	return due
}

// withAge returns a copy of an accusation that was recorded the given time ago.
func withAge(accusation *wire.Accusation, since time.Duration) *wire.Accusation {
	a := proto.CloneOf(accusation)
	a.AgeMs += since.Milliseconds()
	return a
}

// Page returns at most n of the accusations that still isolate or block a request.
// Successive calls return all of them in turn, so that a process that missed some
// receives them later.
func (s *Screener) Page(n int) []*wire.Accusation {
	all := s.Accusations()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(all) <= n {
		return all
	}
	page := make([]*wire.Accusation, n)
	for i := range page {
		page[i] = all[(s.cursor+i)%len(all)]
	}
	s.cursor = (s.cursor + n) % len(all)
	return page
}
