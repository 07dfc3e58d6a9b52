package permitter

import (
	"time"

	"bamboohill/core/viewer"
)

// run identifies one run of a backend server.
type run struct {
	server viewer.ServerID
	born   int64 // start, in Unix milliseconds
}

func runOf(s *viewer.Server) run { return run{server: s.ID, born: s.StartMillis} }

// record is what is known of one run of a server.
type record struct {
	limit    Limit
	touched  time.Time // when the record was last used
	reported time.Time // when values that can't be used were last reported

	cold      float64   // requests per second that the server takes while it is cold
	coldUntil time.Time // when that ends, if it is not repeated

	leaving bool      // the server leaves
	rest    time.Time // until when the server wants no request from this entry

	notices    int       // copies of the notice that all other entries still need
	nextNotice time.Time // when the next of them may be sent

	permits  []time.Time // when the permits of this entry expire, in order
	scarce   bool        // other entries wait for permits
	returned int         // permits that the owner has not been told of
	demand   demand
	bucket   bucket
}

// demand is the state of this entry's demand for permits of one server.
type demand struct {
	wanted   int       // that the owner was last told
	sent     time.Time // when it was
	answered time.Time // latest grant, also one without permits
	tried    int       // owners that have not answered
	next     time.Time // expected time of the next permit; zero if unknown
	interval time.Duration
}

// rate returns the requests per second that the server takes from all entries together, 0
// if it has no limit: the lower one of the limit that it names and its rate while cold.
func (r *record) rate(now time.Time) float64 {
	limit := r.limit.Value()
	if now.Before(r.coldUntil) && (limit == 0 || r.cold < limit) {
		return r.cold
	}
	return limit
}

// notable reports whether other entries need to know of the record: its server
// leaves, or has a limit, or had one a short time ago.
func (r *record) notable(now time.Time) bool {
	return r.leaving || r.limit.Value() > 0 || now.Sub(r.limit.heard) < noticeMemory
}

// expire drops the permits that have expired, so that they are returned to the owner, and
// returns their number.
func (r *record) expire(now time.Time) int {
	n := 0
	for n < len(r.permits) && !now.Before(r.permits[n]) {
		n++
	}
	r.permits = r.permits[n:]
	r.returned += n
	return n
}
