// Package auditor counts what became of refused callers, from the logs of entries.
//
// # Usage
//
//	var returns auditor.Returns
//	err := returns.Read(file) // for each log
//	for _, k := range returns.Kinds() { ... }
package auditor

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxLine is the length of the longest line of a log that is read, in bytes.
const maxLine = 1 << 20

// NoRoute is the route of requests that were refused before their route was known.
const NoRoute = "-"

// statusWithTime is the status of refusals that name the time of a return.
const statusWithTime = "503"

// Kind identifies refusals by the route of the request and the status of the answer.
type Kind struct {
	Route  string `json:"route"`
	Status string `json:"status"`
}

// Count counts the refusals of one kind, and what became of callers that an entry
// recognized when they came back after one. Returns that ended neither refused nor answered
// have failed, or their end is in no log that was read.
type Count struct {
	Kind
	Refused int `json:"refused"`
	OnTime  int `json:"on_time"` // returns at the time that was named, or later
	Early   int `json:"early"`   // returns before it
	Again   int `json:"again"`   // returns that were refused again
	Served  int `json:"served"`  // returns that were answered
}

// ended is the end of a request.
type ended struct {
	outcome, status, route, cause string
}

// Returns reads logs. The zero value has read none.
type Returns struct {
	ends    map[string]ended // by id
	returns map[string]bool  // whether on time, by id
}

// Read reads a log. Lines may begin with other text, as of a log collector. Each request
// has one end; of several, as in a log that is read twice, the last one counts.
func (r *Returns) Read(log io.Reader) error {
	if r.ends == nil {
		r.ends, r.returns = map[string]ended{}, map[string]bool{}
	}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		switch field(line, "event") {
		case "returned":
			r.returns[field(line, "id")] = field(line, "on_time") == "true"
		case "ended":
			e := ended{outcome: field(line, "outcome"), status: field(line, "status"), route: cmp.Or(field(line, "route"), NoRoute), cause: field(line, "cause")}
			r.ends[field(line, "id")] = e
		}
	}
	return lines.Err()
}

// field returns the value of a field of a line, "" if the line lacks it.
func field(line, name string) string {
	_, rest, found := strings.Cut(line, " "+name+"=")
	if !found {
		return ""
	}
	if quoted, isQuoted := strings.CutPrefix(rest, `"`); isQuoted {
		value, _, _ := strings.Cut(quoted, `"`)
		return value
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// Counts returns the counts of each kind that was refused or came back, by route and
// status. Returns count to the status of refusals that name a time.
func (r *Returns) Counts() []Count {
	counts := map[Kind]*Count{}
	of := func(k Kind) *Count {
		if counts[k] == nil {
			counts[k] = &Count{Kind: k}
		}
		return counts[k]
	}
	for _, e := range r.ends {
		if e.outcome == "refused" {
			of(Kind{e.route, e.status}).Refused++
		}
	}
	for id, onTime := range r.returns {
		e, found := r.ends[id]
		if !found {
			continue
		}
		c := of(Kind{e.route, statusWithTime})
		if onTime {
			c.OnTime++
		} else {
			c.Early++
		}
		switch e.outcome {
		case "refused":
			c.Again++
		case "answered":
			c.Served++
		}
	}
	sorted := make([]Count, 0, len(counts))
	for _, k := range slices.SortedFunc(maps.Keys(counts), compareKinds) {
		sorted = append(sorted, *counts[k])
	}
	return sorted
}

func compareKinds(a, b Kind) int {
	return cmp.Or(strings.Compare(a.Route, b.Route), strings.Compare(a.Status, b.Status))
}

// Cause counts the refusals of a route with one cause.
type Cause struct {
	Route   string `json:"route"`
	Cause   string `json:"cause"` // as its caller was told, without what follows a colon in it
	Refused int    `json:"refused"`
	Again   int    `json:"again"` // of callers that had come back
}

// causeParts is the number of parts, each up to a colon, of a cause that are told apart.
const causeParts = 2

// Causes returns the causes of refusals, by route, the most frequent first.
func (r *Returns) Causes() []Cause {
	counts := map[[2]string]*Cause{}
	for id, e := range r.ends {
		if e.outcome != "refused" {
			continue
		}
		parts := strings.SplitN(e.cause, ": ", causeParts+1)
		cause := strings.Join(parts[:min(causeParts, len(parts))], ": ")
		key := [2]string{e.route, cause}
		if counts[key] == nil {
			counts[key] = &Cause{Route: e.route, Cause: cause}
		}
		counts[key].Refused++
		if _, back := r.returns[id]; back {
			counts[key].Again++
		}
	}
	var causes []Cause
	for _, c := range counts {
		causes = append(causes, *c)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(strings.Compare(a.Route, b.Route), cmp.Compare(b.Refused, a.Refused), strings.Compare(a.Cause, b.Cause))
	})
	return causes
}
