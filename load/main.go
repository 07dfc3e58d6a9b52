// Command load sends open-loop load as client accounts would and verifies every
// answer. It also simulates placement policies and measures deployments.
//
// # Usage
//
//	load run --config load.toml --rate 50
//	load run --entry 127.0.0.1:21010 --key KEY --seconds 10
//	load experiment --engines 20 --load 0.8
//	load replay --load waves --plots out
//	load probe --entry 127.0.0.1:21010 --key KEY --tokens 100000
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bamboohill/core/checker"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:                  "load",
		Usage:                 "sends open-loop load and checks every answer",
		EnableShellCompletion: true,
		Commands:              commands(),
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(status(err))
	}
}

func commands() []*cli.Command {
	return []*cli.Command{
		runCommand(),
		probeCommand(),
		strangersCommand(),
		overheadCommand(),
		experimentCommand(),
		replayCommand(),
		spreadCommand(),
		capacityCommand(),
		measureCommand(),
	}
}

// status returns the exit status of a failed command.
func status(err error) int {
	var bad *checker.Error
	if errors.As(err, &bad) {
		return checker.ExitCode
	}
	return 1
}
