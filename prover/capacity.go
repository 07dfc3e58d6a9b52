package prover

import (
	"encoding/json"
	"fmt"
)

// withinCapacity checks that an engine was never offered more jobs than its capacity.
func (s *Script) withinCapacity(args []string) (string, error) {
	text, err := s.Stack.Counts(args[0], "/counts")
	if err != nil {
		return "", err
	}
	var counts struct {
		Worst float64 `json:"worst"`
	}
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		return "", err
	}
	if counts.Worst > 1 {
		return "", fmt.Errorf("prover: %s was offered %g times its capacity", args[0], counts.Worst)
	}
	return "", nil
}
