package prover

import (
	"encoding/json"
	"fmt"
)

// withinCapacity checks that an engine was at no moment offered more jobs than it bore.
func (s *Script) withinCapacity(w []string) (string, error) {
	text, err := s.Stack.Counts(w[0], "/counts")
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
		return "", fmt.Errorf("prover: %s was offered %g of what it bears", w[0], counts.Worst)
	}
	return "", nil
}
