// Package leveler chooses the backend server for a call of a plain service. It is designed
// for bursts of short calls over few servers that many entries use at once, and for
// servers of unequal speed, some of which fail.
//
// The functions have no side effects but for the random source that is passed in.
//
// # Usage
//
//	best := leveler.Choose(candidates, staleness, rand.Float64)
package leveler

import (
	"math"
	"time"
)

// Candidate is a backend server that could serve the call.
type Candidate struct {
	Running     int     // calls sent and not yet ended, as far as known
	PeerRunning int     // calls among Running that other entries have sent
	Slots       int     // calls that it runs concurrently
	Slowdown    float64 // duration of its work relative to normal; less than 1 means 1
	LateRate    float64 // expected fraction of its calls that are late because it is slow, 0 to 1
	FailureRate float64 // estimated fraction of its calls that it fails, 0 to 1
	Remote      bool    // in another failure domain than this entry, see localizer.Remote
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
func Rank(c Candidate) float64 { return waiting(c) + penalty(c) }

// waiting returns the part of the rank that is due to the load, as far as known.
func waiting(c Candidate) float64 {
	return (max(1, c.Slowdown)*float64(c.Running+1) - 1) / float64(slots(c))
}

// penalty returns the part of the rank that is due to the server itself.
func penalty(c Candidate) float64 { return LateWeight*c.LateRate + FailureWeight*c.FailureRate }

func slots(c Candidate) int { return max(1, c.Slots) }

// Staleness says how well the loads are known.
type Staleness struct {
	Delay time.Duration // until this entry learns of the calls of others, and of their ends
	Work  time.Duration // usual duration of a call; 0 if unknown
}

// changes is the number of events of a call that other entries see late: its begin and end.
const changes = 2

// unseen returns the number of calls at one server that others have probably begun or ended
// unseen: 0 if no other entry is known to call the servers.
func (s Staleness) unseen(all []Candidate) float64 {
	if s.Work <= 0 || len(all) == 0 {
		return 0
	}
	sum := 0
	for _, c := range all {
		sum += c.PeerRunning
	}
	return changes * float64(sum) / float64(len(all)) * float64(s.Delay) / float64(s.Work)
}

// Choose returns the index of the candidate with the lowest rank, the first one of several,
// if no calls of other entries are unseen. Otherwise it draws one by the rank, the more evenly
// the more calls are unseen, as else all entries would choose the same server. random
// returns numbers from 0 to 1. The candidates must be in random order. It returns -1 if there
// are none. While servers in the own failure domain have room, only these are candidates.
func Choose(all []Candidate, s Staleness, random func() float64) int {
	indexes := near(all, s)
	if len(indexes) == 0 {
		return choose(all, s, random)
	}
	own := make([]Candidate, len(indexes))
	for i, n := range indexes {
		own[i] = all[n]
	}
	return indexes[choose(own, s, random)]
}

func choose(all []Candidate, s Staleness, random func() float64) int {
	best, least := -1, 0.0
	unseen := s.unseen(all)
	for i, c := range all {
		rank := Rank(c)
		if unseen > 0 {
			n := float64(slots(c))
			rank = n*waiting(c)/unseen + n*penalty(c)/min(1, unseen) + gumbel(random())
		}
		if best < 0 || rank < least {
			best, least = i, rank
		}
	}
	return best
}

// gumbel turns a uniformly distributed number into one of which the least, added to costs,
// chooses each cost with a probability proportional to its negative exponential.
func gumbel(uniform float64) float64 {
	const least = 1e-12 // avoids the logarithm of zero
	return math.Log(max(least, -math.Log(max(least, uniform))))
}
