package main

import (
	"context"
	"fmt"
	"time"

	"bamboohill/load/internal/caller"
	"bamboohill/load/internal/planner"

	"github.com/urfave/cli/v3"
)

// unansweredError says that a probe got no whole right answer.
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
		Usage: "send one prompt, check its answer and print one line; exit 1 unless the whole right answer came",
		Flags: append([]cli.Flag{
			&cli.Int64Flag{Name: "tokens", Usage: "length of the prompt", Value: 1000},
			&cli.BoolFlag{Name: "stream", Usage: "ask for a stream", Value: true},
			&cli.Uint64Flag{Name: "seed", Usage: "of the text"},
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
		result.Status, result.Code, float64(result.First)/float64(time.Millisecond), float64(result.Total)/float64(time.Millisecond), result.ID)
	if result.Outcome != caller.Answered {
		return &unansweredError{Outcome: result.Outcome, Code: result.Code}
	}
	return nil
}
