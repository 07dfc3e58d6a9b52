package main

import (
	"context"
	"fmt"
	"os"

	"bamboohill/load/internal/estimator"

	"github.com/urfave/cli/v3"
)

// capacityCommand returns the command that checks docs/CAPACITY.md against measured slopes or rewrites its section.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "estimate the resource use at the target size from measured slopes; fail if the page is inconsistent with them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "slopes", Required: true, Usage: "file of measured slopes, one slope=NAME value=NUMBER per line"},
			&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "page to check"},
			&cli.BoolFlag{Name: "write", Usage: "regenerate the section of the page instead of checking it"},
		},
		Action: capacity,
	}
}

func capacity(_ context.Context, c *cli.Command) error {
	file, err := os.Open(c.String("slopes"))
	if err != nil {
		return err
	}
	defer file.Close()
	measured, err := estimator.Read(file)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(c.String("page"))
	if err != nil {
		return err
	}
	for _, l := range estimator.Lines(measured, estimator.TargetSize) {
		fmt.Println(l)
	}
	if !c.Bool("write") {
		return estimator.Check(string(page), measured, estimator.TargetSize)
	}
	next, err := estimator.ReplaceSection(string(page), measured, estimator.TargetSize)
	if err != nil {
		return err
	}
	return os.WriteFile(c.String("page"), []byte(next), 0o644)
}
