// Package commander implements the command line shared by the programs that run
// from a settings file.
//
// # Usage
//
//	commander.Main(commander.Config[settings.Settings]{Name: "entry", Run: run})
//
// "PROGRAM run FILE" runs until SIGTERM or an interrupt, "PROGRAM check FILE"
// checks the settings. The exit status is 2 for bad settings and 1 for any
// other failure.
package commander

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"bamboohill/core/checker"
	"bamboohill/core/logger"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"
)

// Config describes a program with settings of type S.
type Config[S any] struct {
	Name          string
	Usage         string
	Level         func(*S) string
	Run           func(context.Context, *S, *log.Logger) error
	ExtraCommands []*cli.Command // further commands, beside run and check
}

// Settings of the garbage collector. These programs hold a few megabytes and
// allocate many times that every second, so with the default percentage they
// would collect hundreds of times a second. memoryLimit, in bytes, bounds the
// heap that the larger percentage allows. A program with a limit of its own sets
// it in Run.
const (
	gcPercent   = 400
	memoryLimit = 192 << 20
)

// errSettingsFile is returned if the command line does not name exactly one
// settings file.
var errSettingsFile = errors.New("commander: want one settings file")

// Main runs the command line of the program. On an error it prints the error to
// standard error and exits with status 1, or with checker.ExitCode if the command
// line does not name exactly one settings file or the settings in it are invalid.
func Main[S any](config Config[S]) {
	if err := Command(config).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(status(err))
	}
}

func status(err error) int {
	var bad *checker.Error
	if errors.As(err, &bad) || errors.Is(err, errSettingsFile) {
		return checker.ExitCode
	}
	return 1
}

// Command returns the command that Main runs. It can also serve as one of the
// ExtraCommands of another program.
func Command[S any](config Config[S]) *cli.Command {
	c := command(config)
	c.Commands = append(c.Commands, config.ExtraCommands...)
	return c
}

func command[S any](config Config[S]) *cli.Command {
	return &cli.Command{
		Name:                  config.Name,
		Usage:                 config.Usage,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run with the settings in FILE", ArgsUsage: "FILE",
				Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, config) },
			},
			{
				Name: "check", Usage: "check the settings in FILE", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					_, err := load[S](c)
					return err
				},
			},
		},
	}
}

func load[S any](c *cli.Command) (*S, error) {
	if c.Args().Len() != 1 {
		return nil, errSettingsFile
	}
	s := new(S)
	return s, checker.Load(c.Args().First(), s)
}

func run[S any](ctx context.Context, c *cli.Command, config Config[S]) error {
	s, err := load[S](c)
	if err != nil {
		return err
	}
	l, err := logger.New(logger.Config{Program: config.Name, Level: config.Level(s)})
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return config.Run(ctx, s, l)
}
