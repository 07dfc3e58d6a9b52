package translator

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Statement is what the head of an answer says about the wishes of its backend server.
type Statement struct {
	Limit        float64       // requests per second that it takes from all entries together; 0 if it names no limit
	LimitInvalid bool          // it names a limit that can't be used
	Leaving      bool          // it leaves, and takes no new requests
	Rest         time.Duration // for which it wants no request from this entry; 0 for none
	Invalid      []string      // header fields with values that can't be used
}

// maxValueBytes is the longest value of a header field of a statement that is read.
const maxValueBytes = 64

// StatementFields are the names of the header fields in which servers say what they take.
type StatementFields struct {
	Limit   string // requests per second from all senders together
	Leaving string // "1" if the server leaves
	Rest    string // with a rejection: for how long the server wants nothing from this sender
}

// Read returns what the head of an answer that is read at a time says about its backend
// server. Of several limits the lowest one counts, of several rests the longest.
func (f StatementFields) Read(status int, h http.Header, now time.Time) Statement {
	var s Statement
	for _, value := range h.Values(f.Limit) {
		limit, ok := parseLimit(value)
		switch {
		case !ok:
			s.Invalid = append(s.Invalid, f.Limit+": "+truncate(value))
		case s.Limit == 0 || limit < s.Limit:
			s.Limit = limit
		}
	}
	s.LimitInvalid = s.Limit == 0 && len(s.Invalid) > 0
	for _, value := range h.Values(f.Leaving) {
		switch strings.TrimSpace(value) {
		case "1":
			s.Leaving = true
		case "0":
		default:
			s.Invalid = append(s.Invalid, f.Leaving+": "+truncate(value))
		}
	}
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return s
	}
	for _, value := range h.Values(f.Rest) {
		rest, ok := parseRest(value, h.Get("Date"), now)
		if !ok {
			s.Invalid = append(s.Invalid, f.Rest+": "+truncate(value))
		}
		s.Rest = max(s.Rest, rest)
	}
	return s
}

// maxRest bounds the rest of a server: it can't end one that it has asked for by mistake.
const maxRest = 5 * time.Minute

// parseRest parses a Retry-After: a number of seconds, which may have a fraction, or a date,
// which is taken relative to the date of the answer, or to now if that has none. It returns
// at most maxRest, and false if the value can't be used or exceeds that.
func parseRest(text, date string, now time.Time) (time.Duration, bool) {
	if len(text) > maxValueBytes {
		return 0, false
	}
	if until, err := http.ParseTime(strings.TrimSpace(text)); err == nil {
		if sent, err := http.ParseTime(date); err == nil {
			now = sent
		}
		rest := until.Sub(now)
		return min(max(0, rest), maxRest), rest <= maxRest
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if math.IsNaN(seconds) || seconds < 0 || err != nil && !math.IsInf(seconds, 1) {
		return 0, false
	}
	if seconds > maxRest.Seconds() {
		return maxRest, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// parseLimit parses a number of requests per second that is not negative. Zero becomes the
// smallest positive number, as a Statement has a zero for no limit.
func parseLimit(text string) (float64, bool) {
	if len(text) > maxValueBytes {
		return 0, false
	}
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if math.IsNaN(limit) || limit < 0 || err != nil && !math.IsInf(limit, 1) {
		return 0, false
	}
	return max(limit, math.SmallestNonzeroFloat64), true
}

// truncate returns a value as it can be logged.
func truncate(value string) string {
	if len(value) > maxValueBytes {
		return value[:maxValueBytes] + "..."
	}
	return value
}
