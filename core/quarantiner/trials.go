package quarantiner

import (
	"slices"
	"time"
)

// maxFailedTrials is the number of trials that end with a crash after which a blocked
// request gets no further trial.
const maxFailedTrials = 2

// Limits on how often the time until a trial doubles, and on the share of trials that
// cleared the request in it.
const (
	maxDoublings       = 16
	maxPassedDoublings = 3
)

// sameTrial is the time within which the trials that processes begin of one request
// compete, so that one of them runs it.
const sameTrial = time.Second

// trial is a trial that a process began or wanted to begin.
type trial struct {
	at       time.Time
	claimant uint64 // number of the process
}

// addTrial records that a process began a trial, and reports whether that was new.
func (s *suspect) addTrial(t trial) bool {
	for _, known := range s.trials {
		if known.claimant == t.claimant && t.at.Sub(known.at).Abs() < sameTrial {
			return false // the times differ by the transit of the messages
		}
	}
	s.trials = append(s.trials, t)
	slices.SortFunc(s.trials, func(a, b trial) int { return a.at.Compare(b.at) })
	return true
}

// Wins reports whether a process may run the trial that it began last, as no process
// with a lower number began one at the same time.
func (c *Quarantiner) Wins(fingerprint string, claimant uint64) bool {
	s, found := c.suspects[fingerprint]
	if !found {
		return false
	}
	var own time.Time
	for _, t := range s.trials {
		if t.claimant == claimant {
			own = t.at
		}
	}
	return !own.IsZero() && !slices.ContainsFunc(s.trials, func(t trial) bool { return t.claimant < claimant && own.Sub(t.at).Abs() < sameTrial })
}

// failedTrials returns the number of trials since the last clearance that ended
// with a crash.
func (s *suspect) failedTrials() int {
	n := 0
	for _, r := range s.crashes {
		if r.trial && r.at.After(s.cleared) {
			n++
		}
	}
	return n
}

// mayTry reports whether a blocked request gets a trial at some time.
func (c *Quarantiner) mayTry(s *suspect) bool {
	failed := s.failedTrials()
	if c.count(s) < certainCrashes || s.doubtful() {
		return failed < maxFailedTrials
	}
	return failed == 0 && !s.certain()
}

// nextTrial returns the time from which a blocked request may run once more. The
// time doubles with every trial without a complete run, and with some of those that
// cleared the request, so that one that crashes servers now and then is run more
// rarely.
func (c *Quarantiner) nextTrial(s *suspect) time.Time {
	last, passed, doublings := s.last, 0, 0
	var previous time.Time
	for _, t := range s.trials {
		if t.at.Sub(previous) < sameTrial {
			continue
		}
		previous = t.at
		if t.at.After(last) {
			last = t.at
		}
		if t.at.After(s.cleared) {
			doublings++
		} else {
			passed++
		}
	}
	doublings = min(doublings+min(passed, maxPassedDoublings), maxDoublings)
	return last.Add(min(c.config.TrialInterval<<doublings, c.config.BlockTime))
}
