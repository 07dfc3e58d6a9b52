package main

import (
	"context"
	"os"
	"time"

	"bamboohill/load/internal/experimenter"
	"bamboohill/load/internal/publisher"

	"github.com/urfave/cli/v3"
)

// experimentCommand compares policies on fake engines under a fake clock.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "compare placement and admission policies on fake engines, under a fake clock",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Value: policies(), Usage: "policies to compare"},
			&cli.IntSliceFlag{Name: "engines", Value: []int{14, 20}, Usage: "sizes of the fleet"},
			&cli.FloatSliceFlag{Name: "load", Value: []float64{0.5, 0.8, 0.95, 1.2}, Usage: "parts of the fleet's capacity"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and choices"},
			&cli.DurationFlag{Name: "length", Value: 5 * time.Minute, Usage: "length of the arrivals"},
			&cli.DurationFlag{Name: "lag", Value: 100 * time.Millisecond, Usage: "time that reports are on their way"},
			&cli.DurationFlag{Name: "every", Value: 500 * time.Millisecond, Usage: "time between reports"},
			&cli.FloatFlag{Name: "patience", Value: 1, Usage: "multiply the callers' timeouts by this"},
			&cli.FloatFlag{Name: "surge", Usage: "from half of the time on the largest account sends so many times more; only that half counts"},
			&cli.BoolFlag{Name: "fair", Usage: "accounts share the work under overload"},
			&cli.BoolFlag{Name: "no-ride", Usage: "answers carry no reports"},
			&cli.BoolFlag{Name: "calm", Usage: "run each trace without long prompts too, for the slowdown"},
			&cli.StringFlag{Name: "csv", Usage: "write the results to this file too"},
			&cli.StringFlag{Name: "name", Value: "policies", Usage: "name of the experiment in the results"},
		},
		Action: experiment,
	}
}

func policies() []string {
	var list []string
	for _, p := range append(experimenter.Baselines, experimenter.Full) {
		list = append(list, string(p))
	}
	return list
}

func experiment(_ context.Context, c *cli.Command) error {
	plan := experimenter.Plan{
		Name: c.String("name"), Engines: c.IntSlice("engines"), Loads: c.FloatSlice("load"), Seed: c.Uint64("seed"),
		Length: c.Duration("length"), Calm: c.Bool("calm"), Patience: c.Float("patience"), Surge: c.Float("surge"),
		Setup: experimenter.Setup{Lag: c.Duration("lag"), Every: c.Duration("every"), NoRide: c.Bool("no-ride"), Fair: c.Bool("fair")},
	}
	for _, p := range c.StringSlice("policy") {
		plan.Policies = append(plan.Policies, experimenter.Policy(p))
	}
	var rows []experimenter.Row
	plan.Run(func(r experimenter.Row) {
		rows = append(rows, r)
		publisher.WriteLine(os.Stdout, r)
	})
	if path := c.String("csv"); path != "" {
		return save(path, func(f *os.File) error { return publisher.WriteCSV(f, rows) })
	}
	return nil
}

func save(path string, write func(*os.File) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return write(f)
}
