package attributor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Part is the id of a part of a prompt.
type Part string

// Run is one run of a backend server.
type Run struct {
	Server string
	Boot   uint64
}

// Crash is the end of a run under requests.
type Crash struct {
	Run
	At time.Time
}

// threshold is the evidence from which a part is a culprit.
type threshold struct {
	crashes  int
	episodes int           // crashes within episodeGap of each other are one
	spread   time.Duration // from the first crash to the last
}

// Thresholds for parts that have never been served, for those that a process with few
// answers has not seen served, and for the others.
var (
	unserved   = threshold{crashes: 3, episodes: 2}
	unexpected = threshold{crashes: 5, episodes: 2}
	served     = threshold{crashes: 5, episodes: 3, spread: 5 * time.Second} // the time of a silent crash is known that exactly
)

// episodeGap is the time between two crashes up to which they may have one cause other
// than a request, such as the loss of a host.
const episodeGap = 100 * time.Millisecond

// Limits of what is remembered.
const (
	retention  = time.Minute // of crashes
	maxCrashes = 1024
	maxParts   = 32 << 10 // of the requests under all crashes
	maxServed  = 8192     // parts
)

// minExpected is the number of answers with a part that this process must have expected,
// by the share of the part in the requests that crashed, before few crashes suffice to
// blame a part that it has not seen served. A process that has just started has seen few
// answers.
const minExpected = 3

// record is what is known of a crash.
type record struct {
	at       time.Time
	requests map[string]bool // that were running, by fingerprint
	lists    map[list]bool   // of parts that were recorded
	parts    map[Part]int    // number of these requests with the part
}

// list identifies one of the lists in which the parts of a request may be recorded.
type list struct {
	request string
	first   Part
}

// Attributor holds the crashes and the parts that have been served. It is not safe for
// concurrent use.
type Attributor struct {
	crashes map[Run]*record
	served  map[Part]time.Time // begin of the latest answer to a request with the part
	answers int                // requests that this process has seen served
	held    map[Part]int       // number of crashes with the part
	size    int                // number of parts in all crashes
}

// New returns an Attributor that knows nothing.
func New() *Attributor {
	return &Attributor{crashes: map[Run]*record{}, served: map[Part]time.Time{}, held: map[Part]int{}}
}

// RecordCrash records that a request, given by its fingerprint, with the parts was running
// on a server that crashed. The parts of one request may be recorded in several lists, each
// with another first part; further copies of a list are ignored. It reports whether the list was
// new.
func (a *Attributor) RecordCrash(c Crash, request string, parts []Part, now time.Time) bool {
	r, found := a.crashes[c.Run]
	if !found {
		a.makeRoom(now)
		r = &record{at: c.At, requests: map[string]bool{}, lists: map[list]bool{}, parts: map[Part]int{}}
		a.crashes[c.Run] = r
	}
	if c.At.Before(r.at) {
		r.at = c.At
	}
	l := list{request: request}
	if len(parts) > 0 {
		l.first = parts[0]
	}
	if r.lists[l] {
		return false
	}
	r.requests[request], r.lists[l] = true, true
	for _, p := range parts {
		if r.parts[p] == 0 {
			if len(r.parts) >= maxParts {
				continue
			}
			a.held[p]++
			a.size++
		}
		r.parts[p]++
	}
	for a.size > maxParts && len(a.crashes) > 1 {
		a.dropOldest(c.Run)
	}
	return true
}

// RecordAnswer records that a request with the parts was served by this process in an
// answer that began at the given time.
func (a *Attributor) RecordAnswer(parts []Part, began time.Time) {
	a.answers++
	for _, p := range parts {
		a.RecordServed(p, began)
	}
}

// RecordServed records that a request with the part was served in an answer that began at
// the given time, here or by another process.
func (a *Attributor) RecordServed(p Part, began time.Time) {
	if old, found := a.served[p]; found && !began.After(old) {
		return
	}
	if _, found := a.served[p]; !found && len(a.served) >= maxServed {
		a.forgetServed()
	}
	a.served[p] = began
}

// Served returns when the latest answer to a request with the part began that was
// served, and whether there was any.
func (a *Attributor) Served(p Part) (time.Time, bool) {
	at, found := a.served[p]
	return at, found
}

// makeRoom drops old crashes.
func (a *Attributor) makeRoom(now time.Time) {
	for run, r := range a.crashes {
		if now.Sub(r.at) > retention {
			a.drop(run)
		}
	}
	for len(a.crashes) >= maxCrashes {
		a.dropOldest(Run{})
	}
}

// dropOldest drops the oldest crash but for one.
func (a *Attributor) dropOldest(but Run) {
	var oldest Run
	found := false
	for run, r := range a.crashes {
		if run != but && (!found || r.at.Before(a.crashes[oldest].at)) {
			oldest, found = run, true
		}
	}
	a.drop(oldest)
}

// drop drops a crash.
func (a *Attributor) drop(run Run) {
	r, found := a.crashes[run]
	if !found {
		return
	}
	for p := range r.parts {
		if a.held[p]--; a.held[p] == 0 {
			delete(a.held, p)
		}
	}
	a.size -= len(r.parts)
	delete(a.crashes, run)
}

// forgetServed drops the half of the parts that were served longest ago.
func (a *Attributor) forgetServed() {
	parts := slices.SortedFunc(maps.Keys(a.served), func(x, y Part) int { return a.served[x].Compare(a.served[y]) })
	for _, p := range parts[:len(parts)/2] {
		delete(a.served, p)
	}
}

// expected returns the number of answers with a part that this process would have seen if
// the part were served as often as others, by its share in the requests under crashes.
func (a *Attributor) expected(c Culprit) float64 {
	all := 0
	for _, k := range c.Crashes {
		all += len(a.crashes[k.Run].requests)
	}
	return float64(a.answers) * float64(c.requests) / float64(max(1, all))
}

// Culprit is a part and the crashes that count against it.
type Culprit struct {
	Part     Part
	Crashes  []Crash // oldest first
	Certain  bool    // the part should have been served if it were sound
	requests int     // number of requests with the part under these crashes
	served   bool    // the part has been served before the crashes
}

// compare orders culprits, the likeliest first. The part with the most crashes explains
// those of the others; among parts with equally many, the one that the fewest requests
// hold is the least likely to have been there by chance.
func (c Culprit) compare(other Culprit) int {
	switch {
	case c.served != other.served && other.served:
		return -1
	case c.served != other.served:
		return 1
	}
	return cmp.Or(cmp.Compare(len(other.Crashes), len(c.Crashes)), cmp.Compare(c.requests, other.requests))
}

// Culprits returns the parts that are found to crash servers after a crash, besides those
// that are blocked already: the likeliest one, or several that can't be told apart.
func (a *Attributor) Culprits(run Run, blocked func(Part) bool) []Culprit {
	r, found := a.crashes[run]
	if !found {
		return nil
	}
	e := a.examine(blocked)
	var all []Culprit
	for _, p := range slices.Sorted(maps.Keys(r.parts)) {
		if !e.isBlocked(p) {
			all = append(all, e.accuse(p))
		}
	}
	slices.SortStableFunc(all, Culprit.compare)
	for i, c := range all {
		if !a.convicts(c, c.compare(all[0]) == 0) {
			continue
		}
		end := i + 1
		for end < len(all) && all[end].compare(c) == 0 {
			end++
		}
		alike := all[i:end]
		for k := range alike {
			alike[k].Certain = alike[k].Certain && len(alike) == 1
		}
		return alike
	}
	return nil
}

// convicts reports whether the evidence suffices. A part that has not been served, while
// this process has seen too few answers to expect one, must be the likeliest of all.
func (a *Attributor) convicts(c Culprit, likeliest bool) bool {
	switch {
	case c.served:
		return served.reached(c.Crashes)
	case c.Certain:
		return unserved.reached(c.Crashes)
	}
	return likeliest && unexpected.reached(c.Crashes)
}

// reached reports whether crashes, oldest first, reach the threshold.
func (t threshold) reached(crashes []Crash) bool {
	if len(crashes) < t.crashes {
		return false
	}
	episodes, last := 1, crashes[0].At
	for _, c := range crashes {
		if c.At.Sub(last) > episodeGap {
			episodes++
			last = c.At
		}
	}
	return episodes >= t.episodes && crashes[len(crashes)-1].At.Sub(crashes[0].At) >= t.spread
}
