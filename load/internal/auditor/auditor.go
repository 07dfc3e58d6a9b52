// Package auditor compares the outcomes of bookings that callers saw with the
// runs that the booking services counted.
//
// # Usage
//
//	runs, err := auditor.ReadRuns(ctx, client, addresses)
//	a := auditor.Compare(tries, runs)
package auditor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"bamboohill/load/internal/caller"
)

// Audit counts the bookings that violate a guarantee.
type Audit struct {
	Keys               int // bookings sent, one idempotency key each
	RunTwice           int // run more than once
	RefusedButRun      int // run, although every try was reported as not run
	AnsweredNotRun     int // answered, but never run
	ConflictingAnswers int // different answers for one key
}

// ReadRuns returns the number of runs of every booking, by idempotency key and
// summed over the services at the addresses. It fails if any of them can't be
// read.
func ReadRuns(ctx context.Context, client *http.Client, addresses []string) (map[string]int, error) {
	all := map[string]int{}
	for _, address := range addresses {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
		if err != nil {
			return nil, err
		}
		response, err := client.Do(q)
		if err != nil {
			return nil, err
		}
		runs := map[string]int{}
		err = json.NewDecoder(response.Body).Decode(&runs)
		response.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("auditor: runs of %s: %w", address, err)
		}
		for key, n := range runs {
			all[key] += n
		}
	}
	return all, nil
}

// Compare compares the results of each booking's calls with its number of runs. Both maps have the idempotency keys of bookings as keys.
func Compare(tries map[string][]caller.Result, runs map[string]int) Audit {
	a := Audit{Keys: len(tries)}
	for key, results := range tries {
		n := runs[key]
		refused, answered := 0, ""
		for _, r := range results {
			switch r.Outcome {
			case caller.NotRun:
				refused++
			case caller.Answered:
				if answered != "" && answered != string(r.Body) {
					a.ConflictingAnswers++
				}
				answered = string(r.Body)
			case caller.Unknown, caller.Wrong, caller.Truncated:
			}
		}
		if n > 1 {
			a.RunTwice++
		}
		if n > 0 && refused == len(results) {
			a.RefusedButRun++
		}
		if n == 0 && answered != "" {
			a.AnsweredNotRun++
		}
	}
	return a
}
