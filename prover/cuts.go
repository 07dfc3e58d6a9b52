package prover

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"bamboohill/prover/internal/launcher"
)

// sequence checks the sequence number of the active configuration of an entry.
func (s *Script) sequence(args []string) (string, error) {
	n, err := launcher.ParseNumber(args[0])
	if err != nil {
		return "", err
	}
	text, err := s.Stack.Admin(n, "GET", "status", "")
	if err == nil && !strings.Contains(text, `"sequence":`+args[1]+",") {
		err = fmt.Errorf("prover: the configuration of entry %s is not at sequence %s", args[0], args[1])
	}
	return "", err
}

// partition sets the link mode between the entries and sidecars of the upper half
// and those of the lower half, in both directions. The mode pass ends a partition.
func (s *Script) partition(args []string) (string, error) {
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
			if err := errors.Join(s.Stack.SetLinkMode(a, b, args[0]), s.Stack.SetLinkMode(b, a, args[0])); err != nil {
				return "", err
			}
		}
	}
	return "", nil
}

// unavailable checks how many backend servers an entry sees with a health other
// than alive.
func (s *Script) unavailable(args []string) (string, error) {
	want, err := launcher.ParseNumber(args[1])
	if err != nil {
		return "", err
	}
	got, err := s.serverCounts(args[0])
	if err == nil && got.unavailable != want {
		err = fmt.Errorf("prover: entry sees %d servers that are not alive, want %d", got.unavailable, want)
	}
	return "", err
}

// jobs stores how many jobs an engine has started (store), or checks that it has
// started none (same) or some (more) since then.
func (s *Script) jobs(args []string) (string, error) {
	text, err := s.Stack.Counts(args[0], "/counts")
	if err != nil {
		return "", err
	}
	var counts struct {
		Started int `json:"started"`
	}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	before := s.startedJobs[args[0]]
	switch {
	case args[1] == "store":
		s.startedJobs[args[0]] = counts.Started
	case args[1] == "same" && counts.Started != before || args[1] == "more" && counts.Started <= before:
		return "", fmt.Errorf("prover: %s has started %d jobs, want %s compared with %d", args[0], counts.Started, args[1], before)
	case args[1] != "same" && args[1] != "more":
		return "", fmt.Errorf("%w: jobs %s", errUsage, args[1])
	}
	return "", nil
}
