package screener

import (
	"time"

	"bamboohill/core/quarantiner"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// copyDelays are the times between the copies of an accusation that Urgent returns.
// A lost datagram is repeated before a trial begins, a longer loss a little later.
var copyDelays = [...]time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 250 * time.Millisecond}

// minUrgentGap is the shortest time between two calls of Urgent that it asks for.
const minUrgentGap = 5 * time.Millisecond

// urgent is an accusation that was made by this process and that other processes
// don't know yet.
type urgent struct {
	accusation *wire.Accusation
	recorded   time.Time
	due        time.Time // when the next copy is due
	copies     int       // copies returned
}

// Accuse records an accusation or a clearance that this process has made, queues
// it for Urgent if it was new, and reports whether it was.
func (s *Screener) Accuse(accusation *wire.Accusation) bool {
	s.mu.Lock()
	now := s.now()
	s.splitParts(accusation)
	before := s.blocked(accusation, now)
	isNew := s.suspects.Record(accusation, now)
	if isNew {
		s.queue(accusation, now)
		s.keepEvidence(accusation, now)
		s.attribute(accusation, true, now)
	}
	after := s.blocked(accusation, now)
	s.mu.Unlock()
	s.reportBlocked(before, after)
	return isNew
}

// queue adds an accusation to those that Urgent returns. The caller holds the lock.
func (s *Screener) queue(accusation *wire.Accusation, now time.Time) {
	s.outbox = append(s.outbox, urgent{accusation: accusation, recorded: now, due: now})
	s.unsaved[accusation.GetFingerprint()] = true
	s.signal()
}

func (s *Screener) signal() {
	select {
	case s.changed <- struct{}{}:
	default: // a signal is pending
	}
}

// Changed returns a channel that receives a value when Urgent has new accusations to
// return.
func (s *Screener) Changed() <-chan struct{} { return s.changed }

// Urgent returns at most n accusations that are to be sent to all other processes
// now, and the time until it has more to return, zero if it has none.
func (s *Screener) Urgent(n int) (due []*wire.Accusation, next time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	kept := s.outbox[:0]
	for _, u := range s.outbox {
		if !now.Before(u.due) && len(due) < n {
			due = append(due, withAge(u.accusation, now.Sub(u.recorded)))
			if u.copies == len(copyDelays) {
				continue
			}
			u.due = now.Add(copyDelays[u.copies])
			u.copies++
		}
		if wait := max(minUrgentGap, u.due.Sub(now)); next == 0 || wait < next {
			next = wait
		}
		kept = append(kept, u)
	}
	clear(s.outbox[len(kept):])
	s.outbox = kept
	return due, next
}

// withAge returns a copy of an accusation that was recorded the given time ago.
func withAge(accusation *wire.Accusation, since time.Duration) *wire.Accusation {
	a := proto.CloneOf(accusation)
	a.AgeMs += since.Milliseconds()
	return a
}

// Page returns at most n of the accusations that still isolate or block a request.
// Successive calls return all of them in turn, so that a process that missed some
// receives them later. Up to half of them are against blocked requests, so that
// these do not wait for their turn among many requests with one crash.
func (s *Screener) Page(n int) []*wire.Accusation {
	all := s.Accusations()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var blocked, others []*wire.Accusation
	for _, a := range all {
		if s.suspects.Decide(a.GetFingerprint(), now).Mode == quarantiner.Isolated {
			others = append(others, a)
		} else {
			blocked = append(blocked, a)
		}
	}
	page := s.blockedCursor.next(blocked, max(n/2, n-len(others)))
	return append(page, s.cursor.next(others, n-len(page))...)
}

// cursor is the index of the accusation with which the next page begins.
type cursor int

// next returns at most n of the accusations, those that follow the ones of the
// previous call.
func (c *cursor) next(all []*wire.Accusation, n int) []*wire.Accusation {
	page := make([]*wire.Accusation, 0, min(n, len(all)))
	for range cap(page) {
		page = append(page, all[int(*c)%len(all)])
		*c = (*c + 1) % cursor(len(all))
	}
	return page
}
