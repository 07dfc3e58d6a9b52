package prover

import (
	"encoding/json"
	"fmt"
	"strings"

	"bamboohill/prover/internal/launcher"
)

// servers reads what an entry sees of the backend servers.
func (s *Script) serverCounts(entry string) (v serverCounts, err error) {
	n, err := launcher.ParseNumber(entry)
	if err != nil {
		return v, err
	}
	text, err := s.Stack.Admin(n, "GET", "status", "")
	if err != nil {
		return v, err
	}
	var status struct {
		Servers []struct {
			State   string `json:"state"`
			Health  string `json:"health"`
			Running int    `json:"running"`
		} `json:"servers"`
	}
	if err := json.Unmarshal([]byte(text), &status); err != nil {
		return v, err
	}
	for _, r := range status.Servers {
		v.running += r.Running
		if r.State == "STATE_OPEN" {
			v.open++
		}
		if r.Health != "alive" {
			v.unavailable++
		}
	}
	return v, nil
}

// view is what an entry sees of the backend servers.
type serverCounts struct {
	open, running int
	unavailable   int // suspected or gone
}

// open checks that an entry sees so many backend servers open.
func (s *Script) open(w []string) (string, error) {
	want, err := launcher.ParseNumber(w[1])
	if err != nil {
		return "", err
	}
	got, err := s.serverCounts(w[0])
	if err == nil && got.open != want {
		err = fmt.Errorf("prover: entry sees %d open servers, want %d", got.open, want)
	}
	return "", err
}

// running checks that an entry sees at least so many requests running.
func (s *Script) running(w []string) (string, error) {
	want, err := launcher.ParseNumber(w[1])
	if err != nil {
		return "", err
	}
	got, err := s.serverCounts(w[0])
	if err == nil && got.running < want {
		err = fmt.Errorf("prover: entry sees %d requests running, want %d", got.running, want)
	}
	return "", err
}

// crashes checks how often the engines have crashed, all together, at most.
func (s *Script) crashes(w []string) (string, error) {
	most, err := launcher.ParseNumber(w[0])
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
	if total > most {
		return "", fmt.Errorf("prover: engines crashed %d times, want at most %d", total, most)
	}
	return "", nil
}

// memory checks how many tokens of memory an engine holds: N, or from N to M as
// N..M.
func (s *Script) memory(w []string) (string, error) {
	low, high, ranged := strings.Cut(w[1], "..")
	if !ranged {
		high = low
	}
	least, err := launcher.ParseNumber(low)
	if err != nil {
		return "", err
	}
	most, err := launcher.ParseNumber(high)
	if err != nil {
		return "", err
	}
	text, err := s.Stack.Counts(w[0], "/counts")
	if err != nil {
		return "", err
	}
	var counts struct {
		Used int `json:"used"`
	}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	if counts.Used < least || counts.Used > most {
		return "", fmt.Errorf("prover: %s holds %d tokens, want %s", w[0], counts.Used, w[1])
	}
	return "", nil
}

// counted checks numbers that a process counts, as KEY=N, or KEY=N.. for at
// least N.
func (s *Script) counted(w []string) (string, error) {
	text, err := s.Stack.Counts(w[0], w[1])
	if err != nil {
		return "", err
	}
	counts := map[string]any{}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	for _, word := range w[2:] {
		key, value, _ := strings.Cut(word, "=")
		value, open := strings.CutSuffix(value, "..")
		want, err := launcher.ParseNumber(value)
		if err != nil {
			return "", err
		}
		got, ok := counts[key].(float64)
		if !ok || got < float64(want) || got > float64(want) && !open {
			return "", fmt.Errorf("prover: %s counts %s=%v, want %s", w[0], key, counts[key], word)
		}
	}
	return "", nil
}

// runs checks how often a booking ran, by the log that outlives the services.
func (s *Script) runs(w []string) (string, error) {
	want, err := launcher.ParseNumber(w[1])
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
		if key == w[0] || strings.HasSuffix(key, "/"+w[0]) {
			total += count
		}
	}
	if total != want {
		return "", fmt.Errorf("prover: booking %s ran %d times, want %d", w[0], total, want)
	}
	return "", nil
}
