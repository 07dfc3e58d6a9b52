package main

import (
	"context"
	"fmt"
	"time"

	"bamboohill/load/internal/caller"
	"bamboohill/load/internal/comparer"
	"bamboohill/load/internal/planner"

	"github.com/urfave/cli/v3"
)

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "compare first-token times through an entry with those of direct calls to its engine, in one run",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "engine", Usage: "model engine `IP:PORT`", Required: true},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second over both paths", Value: 200},
			&cli.FloatFlag{Name: "seconds", Usage: "duration of the arrivals", Value: 10},
			&cli.Int64Flag{Name: "tokens", Usage: "prompt length in tokens", Value: 1000},
			&cli.IntFlag{Name: "workers", Usage: "measure the maximum rate through the entry instead, with this many concurrent callers"},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of arrivals and texts"},
		}, targetFlags()...),
		Action: overhead,
	}
}

func overhead(ctx context.Context, c *cli.Command) error {
	set, err := loadSettings(c)
	if err != nil {
		return err
	}
	set.Longest = max(c.Int64("tokens"), set.Shortest)
	p := planner.New(planner.Config{Settings: *set})
	compare := comparer.New(comparer.Config{
		Caller: caller.New(caller.Config{Settings: *set, Planner: p}), Planner: p, Engine: c.String("engine"), Model: set.Model,
		Tokens: c.Int64("tokens"), Answer: set.Answer, Rate: c.Float("rate"), Seconds: c.Float("seconds"), Seed: c.Uint64("seed"),
	})
	if workers := c.Int("workers"); workers > 0 {
		good, bad := compare.Saturate(ctx, workers, time.Duration(set.Seconds*float64(time.Second)))
		fmt.Printf("result=saturated workers=%d answered=%d failed=%d rate=%.0f\n", workers, good, bad, float64(good)/set.Seconds)
		return nil
	}
	direct, through := compare.Run(ctx)
	fmt.Printf("result=overhead seed=%d rate=%g tokens=%d direct=%d through=%d failed=%d", c.Uint64("seed"), c.Float("rate"),
		c.Int64("tokens"), direct.FirstToken.TotalCount(), through.FirstToken.TotalCount(), direct.Failed+through.Failed)
	for _, q := range []float64{50, 99} {
		a, b := float64(direct.FirstToken.ValueAtQuantile(q))/1000, float64(through.FirstToken.ValueAtQuantile(q))/1000
		fmt.Printf(" direct_p%.0f_ms=%.2f through_p%.0f_ms=%.2f added_p%.0f_ms=%.2f", q, a, q, b, q, b-a)
	}
	fmt.Println()
	return nil
}
