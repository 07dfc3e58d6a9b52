package main

import (
	"context"
	"fmt"
	"time"

	"bamboohill/load/internal/spreader"

	"github.com/urfave/cli/v3"
)

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "take a caller's key and a model away again and again, and print how the changes spread",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "entry `IP:PORT`, all of them", Required: true},
			&cli.StringFlag{Name: "operator", Usage: "operator's `KEY`", Required: true},
			&cli.StringFlag{Name: "table", Usage: "table service `IP:PORT`", Required: true},
			&cli.IntFlag{Name: "sidecars", Usage: "in the stack"},
			&cli.IntFlag{Name: "changes", Usage: "of each kind", Value: 50},
		},
		Action: spread,
	}
}

func spread(ctx context.Context, c *cli.Command) error {
	s := spreader.New(spreader.Config{
		Entries: c.StringSlice("entry"), Operator: c.String("operator"), Table: c.String("table"), Sidecars: c.Int("sidecars"),
	})
	for _, kind := range []spreader.Kind{spreader.Key, spreader.Model} {
		r, err := s.Run(ctx, kind, c.Int("changes"))
		if err != nil {
			return err
		}
		fmt.Printf("result=spread kind=%s entries=%d sidecars=%d changes=%d", kind, len(c.StringSlice("entry")), c.Int("sidecars"), len(r.InForce))
		quantiles("accepted", r.Accepted)
		quantiles("served", r.Served)
		quantiles("in_force", r.InForce)
		fmt.Printf(" reads_change=%.2f writes_change=%.2f\n", r.Reads, r.Writes)
	}
	return nil
}

// quantiles prints the median and the longest of sorted times.
func quantiles(name string, times []time.Duration) {
	fmt.Printf(" %s_p50_ms=%.1f %s_max_ms=%.1f", name, millis(times[len(times)/2]), name, millis(times[len(times)-1]))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
