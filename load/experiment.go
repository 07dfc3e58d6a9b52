package main

import (
	"context"
	"os"
	"time"

	"bamboohill/load/internal/experimenter"
	"bamboohill/load/internal/publisher"

	"github.com/urfave/cli/v3"
)

// experimentCommand returns the command that compares policies by simulation.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "compare placement and admission policies on simulated engines with a simulated clock",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Value: policies(), Usage: "policies to compare"},
			&cli.IntSliceFlag{Name: "engines", Value: []int{14, 20}, Usage: "numbers of engines"},
			&cli.FloatSliceFlag{Name: "load", Value: []float64{0.5, 0.8, 0.95, 1.2}, Usage: "offered loads, relative to the capacity of all engines"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of arrivals and placement"},
			&cli.DurationFlag{Name: "length", Value: 5 * time.Minute, Usage: "duration of the arrivals"},
			&cli.DurationFlag{Name: "lag", Value: 100 * time.Millisecond, Usage: "network delay of reports"},
			&cli.DurationFlag{Name: "every", Value: 500 * time.Millisecond, Usage: "time between reports"},
			&cli.FloatFlag{Name: "patience", Value: 1, Usage: "factor for the callers' timeouts"},
			&cli.FloatFlag{Name: "surge", Usage: "factor for the requests of the largest account in the second half; only that half is counted"},
			&cli.BoolFlag{Name: "fair", Usage: "limit accounts to fair shares under overload"},
			&cli.BoolFlag{Name: "no-ride", Usage: "answers carry no reports"},
			&cli.BoolFlag{Name: "calm", Usage: "also run each trace without long prompts, to compute the slowdown"},
			&cli.StringFlag{Name: "csv", Usage: "also write the results to this file"},
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
		Length: c.Duration("length"), WithoutLong: c.Bool("calm"), TimeoutFactor: c.Float("patience"), SurgeFactor: c.Float("surge"),
		Setup: experimenter.Setup{ReportDelay: c.Duration("lag"), ReportInterval: c.Duration("every"), NoPiggyback: c.Bool("no-ride"), FairShare: c.Bool("fair")},
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
