package queuer

import "time"

// Shortage describes why a request finds no room, as the decision that refused it sees it.
type Shortage struct {
	Excess    time.Duration // by which the request would miss its target now
	Ahead     time.Duration // work that waits or was promised room before it, of one server
	Servers   int           // that share that work
	Demand    float64       // share of the servers' time that new requests take, 0 to 1
	Remaining time.Duration // that the caller still waits; 0 if unknown, negative if its time is up
}

// Bounds of the time at which a refused caller is told to come back.
const (
	// minReturn and returnSpread keep callers from coming back at the same time.
	minReturn    = 2 * time.Second
	returnSpread = 2 * time.Second
	// maxReturnShare is the part of its remaining time for which a caller waits as told.
	maxReturnShare = 1.0 / 3
	// cappedSpread is the part of the longest return time over which the returns of
	// callers that can't be told to come later are spread.
	cappedSpread = 0.1
	// maxDemand bounds the demand for which an estimate is made: above it the queue does
	// not drain before the demand falls.
	maxDemand = 0.9
)

// ReturnIn returns after which time the caller may come back: the time until the servers
// have done the work that is in the way, beside new requests, and up to as much again by
// random, a number from 0 to 1. The caller does not honor more than a third of its
// remaining time. One whose time is up gets the shortest time, as only a new request follows.
func (s Shortage) ReturnIn(random float64) time.Duration {
	shortest := minReturn + time.Duration(random*float64(returnSpread))
	if s.Remaining < 0 {
		return shortest
	}
	backlog := float64(max(0, s.Excess)) + float64(max(0, s.Ahead))/float64(max(1, s.Servers))
	drain := backlog / (1 - min(maxDemand, max(0, s.Demand)))
	wait := time.Duration(drain + random*max(drain, float64(returnSpread)))
	wait = max(wait, shortest)
	if s.Remaining == 0 {
		return wait
	}
	longest := maxReturnShare * float64(s.Remaining)
	return min(wait, time.Duration(longest*(1-cappedSpread*(1-random))))
}
