package attributor

import (
	"cmp"
	"slices"
)

// examination collects the evidence against parts at one moment. What several parts share is
// computed once: prompts may have thousands of parts.
type examination struct {
	*Attributor
	blocked  func(Part) bool
	verdicts map[Part]bool
	counts   map[Part]int
	crashes  []examined // oldest first
}

// examined is a crash, and what is known of the parts of its requests.
type examined struct {
	Crash
	*record
	known    bool   // the fields below are set
	blocked  []Part // those that are known to crash servers
	unserved bool   // one has never been served
}

// examine begins an examination, given the parts that are known to crash servers.
func (a *Attributor) examine(blocked func(Part) bool) *examination {
	e := &examination{Attributor: a, blocked: blocked, verdicts: map[Part]bool{}, counts: map[Part]int{}}
	for run, r := range a.crashes {
		e.crashes = append(e.crashes, examined{Crash: Crash{Run: run, At: r.at}, record: r})
	}
	slices.SortFunc(e.crashes, func(x, y examined) int {
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Server, y.Server), cmp.Compare(x.Boot, y.Boot))
	})
	return e
}

// isBlocked reports whether a part is known to crash servers.
func (e *examination) isBlocked(p Part) bool {
	verdict, found := e.verdicts[p]
	if !found {
		verdict = e.blocked(p)
		e.verdicts[p] = verdict
	}
	return verdict
}

// inspect sets what is known of the parts of a crash.
func (e *examination) inspect(x *examined) {
	if x.known {
		return
	}
	x.known = true
	for p := range x.parts {
		if e.isBlocked(p) {
			x.blocked = append(x.blocked, p)
		}
		if _, found := e.served[p]; !found {
			x.unserved = true
		}
	}
}

// holds reports whether a crash counts against a part unless another explains it: it came
// after the part was last served.
func (e *examination) holds(x *examined, p Part) bool {
	return x.parts[p] > 0 && x.At.After(e.served[p])
}

// count returns the number of crashes under a part since it was served.
func (e *examination) count(p Part) int {
	n, found := e.counts[p]
	if found {
		return n
	}
	for i := range e.crashes {
		if e.holds(&e.crashes[i], p) {
			n++
		}
	}
	e.counts[p] = n
	return n
}

// explained reports whether a part other than p is known to crash servers and was there
// in this crash. It must have as many crashes as p, as it may be blocked by mistake.
func (e *examination) explained(x *examined, p Part) bool {
	e.inspect(x)
	return slices.ContainsFunc(x.blocked, func(other Part) bool { return other != p && e.count(other) >= e.count(p) })
}

// against returns the crashes that count against a part, oldest first.
func (e *examination) against(p Part) []*examined {
	if e.held[p] == 0 {
		return nil
	}
	var all []*examined
	for i := range e.crashes {
		if x := &e.crashes[i]; e.holds(x, p) && !e.explained(x, p) {
			all = append(all, x)
		}
	}
	return all
}

// accuse collects the evidence against a part. Where all parts under a crash have been served
// before, it counts against one of these too; else one that has not is the likelier cause.
func (e *examination) accuse(p Part) Culprit {
	c := Culprit{Part: p}
	_, c.served = e.served[p]
	for _, x := range e.against(p) {
		if c.served {
			if e.inspect(x); x.unserved {
				continue
			}
		}
		c.Crashes = append(c.Crashes, x.Crash)
		c.requests += x.parts[p]
	}
	c.Certain = !c.served && e.expected(c) >= minExpected
	return c
}

// Against returns the crashes that count against a part, oldest first, given the parts
// that are known to crash servers.
func (a *Attributor) Against(p Part, blocked func(Part) bool) []Crash {
	var all []Crash
	for _, x := range a.examine(blocked).against(p) {
		all = append(all, x.Crash)
	}
	return all
}

// CountAgainst returns the number of crashes that count against each of several parts.
func (a *Attributor) CountAgainst(parts []Part, blocked func(Part) bool) []int {
	e := a.examine(blocked)
	counts := make([]int, len(parts))
	for i, p := range parts {
		counts[i] = len(e.against(p))
	}
	return counts
}
