package runner

import (
	"context"
	"fmt"
	"io"
	"os"

	"bamboohill/operator/internal/auditor"
	"bamboohill/operator/internal/printer"

	"github.com/urfave/cli/v3"
)

// standardInput is the name of a log that is read from the standard input.
const standardInput = "-"

func returnsCommand() *cli.Command {
	return &cli.Command{
		Name: "returns", Usage: "what became of refused callers, from logs of entries; needs no entry",
		ArgsUsage: "FILE...", Description: "FILE - is the standard input. Returns are recognized over all entries: give the logs of all.",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "causes", Usage: "print the causes of refusals"}},
		Action: printReturns,
	}
}

func printReturns(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return &UsageError{Text: c.FullName() + " wants FILE..."}
	}
	p, err := printer.New(c.Root().Writer, c.String("output"))
	if err != nil {
		return err
	}
	var returns auditor.Returns
	for _, name := range c.Args().Slice() {
		if err := readLog(&returns, name, c.Root().Reader); err != nil {
			return err
		}
	}
	var table [][]string
	if c.Bool("causes") {
		causes := returns.Causes()
		for _, each := range causes {
			table = append(table, []string{each.Route, fmt.Sprint(each.Refused), fmt.Sprint(each.Again), each.Cause})
		}
		return p.Print(causes, []string{"ROUTE", "REFUSED", "AGAIN", "CAUSE"}, table)
	}
	counts := returns.Counts()
	for _, each := range counts {
		row := []string{each.Route, each.Status}
		for _, n := range []int{each.Refused, each.OnTime, each.Early, each.Again, each.Served} {
			row = append(row, fmt.Sprint(n))
		}
		table = append(table, row)
	}
	return p.Print(counts, []string{"ROUTE", "STATUS", "REFUSED", "ON-TIME", "EARLY", "AGAIN", "SERVED"}, table)
}

// readLog reads one log.
func readLog(returns *auditor.Returns, name string, standard io.Reader) error {
	if name == standardInput {
		return returns.Read(standard)
	}
	file, err := os.Open(name)
	if err != nil {
		return &UsageError{Text: err.Error()}
	}
	defer file.Close()
	if err := returns.Read(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
