package permitter

import (
	"math"
	"time"
)

// Bounds of the limits that servers name, in requests per second. A limit below minLimit
// would leave the entries without an answer that ends it.
const (
	minLimit = 0.1
	maxLimit = 1e6
)

// clampLimit returns a limit within the bounds, 0 for none. NaN counts as the lowest one.
func clampLimit(limit float64) float64 {
	if limit == 0 {
		return 0
	}
	if math.IsNaN(limit) {
		return minLimit
	}
	return min(maxLimit, max(minLimit, limit))
}

// Limit is the limit that a server names, as far as its answers tell. The zero value is
// that of a server that has named none.
type Limit struct {
	value float64   // requests per second from all senders together; 0 for none
	heard time.Time // when it was last heard
	asked time.Time // when the request was sent whose answer said so
}

// Value returns the limit in requests per second, 0 for none.
func (l *Limit) Value() float64 { return l.value }

// Apply records the limit that an answer names, or that it names none. Answers overtake
// each other: a lower limit takes effect at once, a higher one or none only if the request
// was sent after the lower one was last heard. An answer that was heard before the request
// was sent that the newest one answers has no effect. It reports whether the limit has
// changed.
func (l *Limit) Apply(limit float64, asked, heard time.Time) bool {
	limit = clampLimit(limit)
	before := l.value
	lower := limit > 0 && (l.value == 0 || limit <= l.value)
	if !heard.After(l.asked) || !lower && !asked.After(l.heard) {
		return false
	}
	if limit > 0 || l.value > 0 {
		l.value, l.asked = limit, asked
		if heard.After(l.heard) {
			l.heard = heard
		}
	}
	return l.value != before
}
