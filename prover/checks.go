package prover

import (
	"encoding/json"
	"fmt"
	"strings"

	"bamboohill/prover/internal/launcher"
)

// serverCounts reads the state of the backend servers as an entry sees them.
func (s *Script) serverCounts(entry string) (counts serverCounts, err error) {
	n, err := launcher.ParseNumber(entry)
	if err != nil {
		return counts, err
	}
	text, err := s.Stack.Admin(n, "GET", "status", "")
	if err != nil {
		return counts, err
	}
	var status struct {
		Servers []struct {
			State   string `json:"state"`
			Health  string `json:"health"`
			Running int    `json:"running"`
		} `json:"servers"`
	}
	if err := json.Unmarshal([]byte(text), &status); err != nil {
		return counts, err
	}
	for _, r := range status.Servers {
		counts.running += r.Running
		if r.State == "STATE_OPEN" {
			counts.open++
		}
		if r.Health != "alive" {
			counts.unavailable++
		}
	}
	return counts, nil
}

// serverCounts summarizes the state of the backend servers as an entry sees them.
type serverCounts struct {
	open, running int // servers in the state open, running requests
	unavailable   int // servers whose health is not alive
}

// open checks how many backend servers an entry sees in the state open.
func (s *Script) open(args []string) (string, error) {
	want, err := launcher.ParseNumber(args[1])
	if err != nil {
		return "", err
	}
	got, err := s.serverCounts(args[0])
	if err == nil && got.open != want {
		err = fmt.Errorf("prover: entry sees %d open servers, want %d", got.open, want)
	}
	return "", err
}

// running checks that an entry sees at least the given number of running requests.
func (s *Script) running(args []string) (string, error) {
	want, err := launcher.ParseNumber(args[1])
	if err != nil {
		return "", err
	}
	got, err := s.serverCounts(args[0])
	if err == nil && got.running < want {
		err = fmt.Errorf("prover: entry sees %d running requests, want at least %d", got.running, want)
	}
	return "", err
}

// crashes checks that the engines have crashed at most the given number of times
// in total.
func (s *Script) crashes(args []string) (string, error) {
	limit, err := launcher.ParseNumber(args[0])
	if err != nil {
		return "", err
	}
	total := 0
	for n := range s.engines {
		text, err := s.Stack.Counts(fmt.Sprintf("engine%d", n), "/counts")
		if err != nil {
			return "", err
		}
		var counts struct {
			Crashes int `json:"crashes"`
		}
		if err := json.Unmarshal([]byte(text), &counts); err != nil {
			return "", err
		}
		total += counts.Crashes
	}
	if total > limit {
		return "", fmt.Errorf("prover: engines crashed %d times, want at most %d", total, limit)
	}
	return "", nil
}

// memory checks how many tokens of memory an engine uses: N, or from N to M,
// written as N..M.
func (s *Script) memory(args []string) (string, error) {
	low, high, ranged := strings.Cut(args[1], "..")
	if !ranged {
		high = low
	}
	minimum, err := launcher.ParseNumber(low)
	if err != nil {
		return "", err
	}
	maximum, err := launcher.ParseNumber(high)
	if err != nil {
		return "", err
	}
	text, err := s.Stack.Counts(args[0], "/counts")
	if err != nil {
		return "", err
	}
	var counts struct {
		Used int `json:"used"`
	}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	if counts.Used < minimum || counts.Used > maximum {
		return "", fmt.Errorf("prover: %s uses %d tokens of memory, want %s", args[0], counts.Used, args[1])
	}
	return "", nil
}

// checkCounts checks counters of a process, as KEY=N, or KEY=N.. for at least N.
func (s *Script) checkCounts(args []string) (string, error) {
	text, err := s.Stack.Counts(args[0], args[1])
	if err != nil {
		return "", err
	}
	counts := map[string]any{}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	for _, arg := range args[2:] {
		key, value, _ := strings.Cut(arg, "=")
		value, atLeast := strings.CutSuffix(value, "..")
		want, err := launcher.ParseNumber(value)
		if err != nil {
			return "", err
		}
		got, ok := counts[key].(float64)
		if !ok || got < float64(want) || got > float64(want) && !atLeast {
			return "", fmt.Errorf("prover: counter of %s is %s=%v, want %s", args[0], key, counts[key], arg)
		}
	}
	return "", nil
}

// runs checks how often a booking ran, by the stand-in runs, which keeps its counts
// when services end.
func (s *Script) runs(args []string) (string, error) {
	want, err := launcher.ParseNumber(args[1])
	if err != nil {
		return "", err
	}
	text, err := s.Stack.Counts("runs", "/runs")
	if err != nil {
		return "", err
	}
	counts := map[string]int{}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	total := 0
	for key, count := range counts {
		if key == args[0] || strings.HasSuffix(key, "/"+args[0]) {
			total += count
		}
	}
	if total != want {
		return "", fmt.Errorf("prover: booking %s ran %d times, want %d", args[0], total, want)
	}
	return "", nil
}
