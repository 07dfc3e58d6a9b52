package discerner

import (
	"slices"
	"time"
)

// Origin is the run that has sent a message.
type Origin int

// Values of Origin.
const (
	Present Origin = iota // the run that sent the last message
	Started               // a run that has not been heard before
	Past                  // a run that another one has replaced
)

// memory is the time for which a replaced run is known. It exceeds the time that a message
// may be under way. A run that was taken for replaced because its first message arrived
// before the last one of its predecessor is heard again after it.
const memory = 10 * time.Second

// Discerner holds the runs of one sender. The zero value has heard none. It is not safe for
// concurrent use.
type Discerner struct {
	heard   bool
	present uint64
	past    []replaced // oldest first
}

// replaced is a run that has ended.
type replaced struct {
	run uint64
	at  time.Time // when its successor was first heard
}

// Discern records a message of a run that was received at the given time, and returns its
// origin.
func (d *Discerner) Discern(run uint64, now time.Time) Origin {
	if d.heard && run == d.present {
		return Present
	}
	d.past = slices.DeleteFunc(d.past, func(r replaced) bool { return now.Sub(r.at) > memory })
	if slices.ContainsFunc(d.past, func(r replaced) bool { return r.run == run }) {
		return Past
	}
	if d.heard {
		d.past = append(d.past, replaced{run: d.present, at: now})
	}
	d.heard, d.present = true, run
	return Started
}
