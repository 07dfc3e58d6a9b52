package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"bamboohill/load/internal/experimenter"
	"bamboohill/load/internal/publisher"

	"github.com/urfave/cli/v3"
)

// measureCommand returns the command that runs all experiments and writes the measurements page.
func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "run all experiments; print the results and write the page, plots and CSV file to a directory",
		Flags: []cli.Flag{
			&cli.Uint64SliceFlag{Name: "seed", Value: []uint64{1, 2, 3}, Usage: "random seeds; the tables show the results of the first one"},
			&cli.DurationFlag{Name: "length", Value: 5 * time.Minute, Usage: "duration of the arrivals"},
			&cli.IntFlag{Name: "workers", Usage: "concurrent runs, half the processors if 0"},
			&cli.StringFlag{Name: "out", Value: "out/bench", Usage: "directory"},
			&cli.StringFlag{Name: "command", Value: "load measure", Usage: "command that the page names as its source"},
		},
		Action: measure,
	}
}

func measure(_ context.Context, c *cli.Command) error {
	suite := experimenter.Suite{Seeds: c.Uint64Slice("seed"), Length: c.Duration("length"), Workers: c.Int("workers")}
	dir := c.String("out")
	plots := filepath.Join(dir, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return err
	}
	var rows []experimenter.Row
	suite.Run(func(r experimenter.Row) {
		rows = append(rows, r)
		publisher.WriteLine(os.Stdout, r)
	})
	missed := 0
	for _, t := range suite.Targets(rows) {
		missed += t.Missed()
		fmt.Printf("target=%q wanted=%q seen=%.3f missed=%d\n", t.Name, t.Goal, t.Values, t.Missed())
	}
	if err := publisher.Plots(plots, suite, rows); err != nil {
		return err
	}
	err := save(filepath.Join(dir, "measurements.csv"), func(f *os.File) error { return publisher.WriteCSV(f, rows) })
	if err != nil {
		return err
	}
	return save(filepath.Join(dir, "MEASUREMENTS.md"), func(f *os.File) error {
		return publisher.WritePage(f, suite, c.String("command"), rows)
	})
}
