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
		Usage: "compare first tokens through an entry with those of its engine called directly, in one run",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "engine", Usage: "model engine `IP:PORT`", Required: true},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second over both ways", Value: 200},
			&cli.FloatFlag{Name: "seconds", Usage: "length of the arrivals", Value: 10},
			&cli.Int64Flag{Name: "tokens", Usage: "length of a prompt", Value: 1000},
			&cli.IntFlag{Name: "workers", Usage: "send as fast as so many callers get answers instead, through the entry alone"},
			&cli.Uint64Flag{Name: "seed", Usage: "of arrivals and texts"},
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
		c.Int64("tokens"), direct.First.TotalCount(), through.First.TotalCount(), direct.Failed+through.Failed)
	for _, q := range []float64{50, 99} {
		a, b := float64(direct.First.ValueAtQuantile(q))/1000, float64(through.First.ValueAtQuantile(q))/1000
		fmt.Printf(" direct_p%.0f_ms=%.2f through_p%.0f_ms=%.2f added_p%.0f_ms=%.2f", q, a, q, b, q, b-a)
	}
	fmt.Println()
	return nil
}
