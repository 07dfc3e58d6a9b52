package prover

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"bamboohill/prover/internal/launcher"
)

// sequence checks that an entry has a configuration of a number in force.
func (s *Script) sequence(w []string) (string, error) {
	n, err := launcher.ParseNumber(w[0])
	if err != nil {
		return "", err
	}
	text, err := s.Stack.Admin(n, "GET", "status", "")
	if err == nil && !strings.Contains(text, `"sequence":`+w[1]+",") {
		err = fmt.Errorf("prover: entry %s has another change than %s in force", w[0], w[1])
	}
	return "", err
}

// partition cuts the entries and sidecars of the upper half off from those of the
// lower one, both ways, or ends that.
func (s *Script) partition(w []string) (string, error) {
	var lower, upper []string
	add := func(kind string, count int) {
		for n := range count {
			name := fmt.Sprintf("%s%d", kind, n)
			if 2*n < count {
				lower = append(lower, name)
			} else {
				upper = append(upper, name)
			}
		}
	}
	add("entry", s.entries)
	add("sidecar", s.engines+s.services)
	for _, a := range lower {
		for _, b := range upper {
			if err := errors.Join(s.Stack.SetLinkMode(a, b, w[0]), s.Stack.SetLinkMode(b, a, w[0])); err != nil {
				return "", err
			}
		}
	}
	return "", nil
}

// unavailable checks how many backend servers an entry holds for silent or gone.
func (s *Script) unavailable(w []string) (string, error) {
	want, err := launcher.ParseNumber(w[1])
	if err != nil {
		return "", err
	}
	got, err := s.serverCounts(w[0])
	if err == nil && got.unavailable != want {
		err = fmt.Errorf("prover: entry sees %d servers silent or gone, want %d", got.unavailable, want)
	}
	return "", err
}

// jobs stores how many jobs an engine has started (store), or checks that
// it has started none (same) or some (more) since.
func (s *Script) jobs(w []string) (string, error) {
	text, err := s.Stack.Counts(w[0], "/counts")
	if err != nil {
		return "", err
	}
	var counts struct {
		Started int `json:"started"`
	}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	before := s.startedJobs[w[0]]
	switch {
	case w[1] == "store":
		s.startedJobs[w[0]] = counts.Started
	case w[1] == "same" && counts.Started != before || w[1] == "more" && counts.Started <= before:
		return "", fmt.Errorf("prover: %s has started %d jobs, want %s than %d", w[0], counts.Started, w[1], before)
	case w[1] != "same" && w[1] != "more":
		return "", fmt.Errorf("%w: jobs %s", errUsage, w[1])
	}
	return "", nil
}
