package prover

import (
	"encoding/json"
	"fmt"

	"bamboohill/prover/internal/launcher"
)

// writeRows writes one row the given number of times through an entry.
func (s *Script) writeRows(args []string) (string, error) {
	var numbers [2]int
	for i, text := range args[:2] {
		n, err := launcher.ParseNumber(text)
		if err != nil {
			return "", err
		}
		numbers[i] = n
	}
	for i := range numbers[1] {
		record := fmt.Sprintf(`{"plan":{"name":"filler","timeoutMs":"%d"}}`, 1000+i)
		if err := s.Stack.PutRow(numbers[0], "plan/filler", record); err != nil {
			return "", err
		}
	}
	return "", nil
}

// listVM sets in the platform's list whether a VM is leaving or stays.
func (s *Script) listVM(args []string) (string, error) {
	text, err := s.Stack.Counts("list", "/vms")
	if err != nil {
		return "", err
	}
	var vms []map[string]any
	if err := json.Unmarshal([]byte(text), &vms); err != nil {
		return "", err
	}
	for _, v := range vms {
		if v["name"] == args[0] {
			v["leaving"] = args[1] == "leaving"
		}
	}
	next, err := json.Marshal(vms)
	if err != nil {
		return "", err
	}
	return "", s.Stack.PutBody("list", "/vms", string(next))
}
