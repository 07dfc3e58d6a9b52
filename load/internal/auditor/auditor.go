// Package auditor compares what callers were told of their bookings with what
// the booking services ran.
//
// # Usage
//
//	runs, err := auditor.Read(ctx, client, addresses)
//	a := auditor.Judge(tries, runs)
package auditor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"bamboohill/load/internal/caller"
)

// Audit counts the bookings that break a promise.
type Audit struct {
	Keys    int // bookings sent
	Doubled int // run more than once
	Lied    int // run, though every try was told "not run"
	Lost    int // answered, though never run
	Crossed int // answered differently under one key
}

// Read adds up the runs of every booking over the services at the addresses.
func Read(ctx context.Context, client *http.Client, addresses []string) (map[string]int, error) {
	all := map[string]int{}
	for _, address := range addresses {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
		if err != nil {
			return nil, err
		}
		reply, err := client.Do(q)
		if err != nil {
			return nil, err
		}
		runs := map[string]int{}
		err = json.NewDecoder(reply.Body).Decode(&runs)
		reply.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("auditor: runs of %s: %w", address, err)
		}
		for key, n := range runs {
			all[key] += n
		}
	}
	return all, nil
}

// Judge compares the results of all tries of each booking with its runs.
func Judge(tries map[string][]caller.Result, runs map[string]int) Audit {
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
					a.Crossed++
				}
				answered = string(r.Body)
			case caller.Unknown, caller.Wrong, caller.Truncated:
			}
		}
		if n > 1 {
			a.Doubled++
		}
		if n > 0 && refused == len(results) {
			a.Lied++
		}
		if n == 0 && answered != "" {
			a.Lost++
		}
	}
	return a
}
