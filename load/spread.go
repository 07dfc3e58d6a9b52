package main

import (
	"context"
	"fmt"
	"time"

	"bamboohill/load/internal/changeprober"

	"github.com/urfave/cli/v3"
)

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "repeatedly revoke a caller's key and a model, and print how fast the changes propagate",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`IP:PORT` of each entry", Required: true},
			&cli.StringFlag{Name: "operator", Usage: "operator's `KEY`", Required: true},
			&cli.StringFlag{Name: "table", Usage: "table service `IP:PORT`", Required: true},
			&cli.IntFlag{Name: "sidecars", Usage: "number of sidecars"},
			&cli.IntFlag{Name: "changes", Usage: "number of changes of each kind", Value: 50},
		},
		Action: spread,
	}
}

func spread(ctx context.Context, c *cli.Command) error {
	p := changeprober.New(changeprober.Config{
		Entries: c.StringSlice("entry"), Operator: c.String("operator"), Table: c.String("table"), Sidecars: c.Int("sidecars"),
	})
	for _, kind := range []changeprober.Kind{changeprober.Key, changeprober.Model} {
		r, err := p.Run(ctx, kind, c.Int("changes"))
		if err != nil {
			return err
		}
		fmt.Printf("result=spread kind=%s entries=%d sidecars=%d changes=%d", kind, len(c.StringSlice("entry")), c.Int("sidecars"), len(r.Active))
		printQuantiles("accepted", r.Accepted)
		printQuantiles("served", r.ServedUntil)
		printQuantiles("in_force", r.Active)
		fmt.Printf(" reads_change=%.2f writes_change=%.2f\n", r.ReadsPerChange, r.WritesPerChange)
	}
	return nil
}

// printQuantiles prints the median and the maximum of sorted times.
func printQuantiles(name string, times []time.Duration) {
	fmt.Printf(" %s_p50_ms=%.1f %s_max_ms=%.1f", name, millis(times[len(times)/2]), name, millis(times[len(times)-1]))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
