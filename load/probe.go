package main

import (
	"context"
	"fmt"
	"time"

	"bamboohill/load/internal/caller"
	"bamboohill/load/internal/planner"

	"github.com/urfave/cli/v3"
)

// unansweredError reports that a probe got no complete and correct answer.
type unansweredError struct {
	Outcome caller.Outcome
	Code    string
}

// Error implements error.
func (e *unansweredError) Error() string {
	return fmt.Sprintf("load: probe ended %s (%s)", e.Outcome, e.Code)
}

func probeCommand() *cli.Command {
	return &cli.Command{
		Name:  "probe",
		Usage: "send one prompt, verify its answer and print one line; exit 1 unless the answer is complete and correct",
		Flags: append([]cli.Flag{
			&cli.Int64Flag{Name: "tokens", Usage: "prompt length in tokens", Value: 1000},
			&cli.BoolFlag{Name: "stream", Usage: "request a stream", Value: true},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the text"},
		}, targetFlags()...),
		Action: probe,
	}
}

func probe(ctx context.Context, c *cli.Command) error {
	tokens := c.Int64("tokens")
	set, err := loadSettings(c)
	if err != nil {
		return err
	}
	set.Longest = max(tokens, set.Shortest)
	r := planner.Request{Serial: 1, Tokens: max(tokens, 32), Answer: set.Answer, Stream: c.Bool("stream")}
	result := caller.New(caller.Config{Settings: *set, Planner: planner.New(planner.Config{Settings: *set})}).Do(ctx, r)
	fmt.Printf("result=probe tokens=%d outcome=%s status=%d code=%s first_ms=%.1f total_ms=%.1f request=%s\n", r.Tokens, result.Outcome,
		result.Status, result.Code, float64(result.FirstToken)/float64(time.Millisecond), float64(result.Total)/float64(time.Millisecond), result.ID)
	if result.Outcome != caller.Answered {
		return &unansweredError{Outcome: result.Outcome, Code: result.Code}
	}
	return nil
}
