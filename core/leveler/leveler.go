// Package leveler chooses the backend server for a call of a plain service. It is designed
// for bursts of short calls over few servers that many entries use at once, and for
// servers of unequal speed, some of which fail.
//
// # Usage
//
//	best := leveler.Choose(candidates)
package leveler

// Candidate is a backend server that could serve the call.
type Candidate struct {
	Running     int     // calls sent and not yet ended, as far as known
	Slots       int     // calls that it runs concurrently
	Slowdown    float64 // duration of its work relative to normal; less than 1 means 1
	LateRate    float64 // expected fraction of its calls that are late because it is slow, 0 to 1
	FailureRate float64 // estimated fraction of its calls that it fails, 0 to 1
}

// FailureWeight is the load of a sound server, in calls per slot, above which an idle server
// that fails every call is preferred to it. It is high because calls are short, while
// failures are final.
const FailureWeight = 4

// LateWeight is the same for a server that answers every call late.
const LateWeight = 2

// Rank returns the expected cost of a call at the candidate, in durations of a call at a
// server at normal speed: the time that the calls before it and its own take by the slots,
// less that of its own at a server at normal speed, and the weighted rates of late answers and
// failures. A server at normal speed ranks by its load.
func Rank(c Candidate) float64 {
	slowdown := max(1, c.Slowdown)
	return (slowdown*float64(c.Running+1)-1)/float64(max(1, c.Slots)) + LateWeight*c.LateRate + FailureWeight*c.FailureRate
}

// Choose returns the index of the candidate with the lowest rank, the first one of several.
// The candidates must be in random order. It returns -1 if there are none.
func Choose(all []Candidate) int {
	best, least := -1, 0.0
	for i, c := range all {
		if rank := Rank(c); best < 0 || rank < least {
			best, least = i, rank
		}
	}
	return best
}
