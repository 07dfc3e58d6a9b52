// Command entry runs on the entry VMs. It accepts requests from callers and
// configuration changes from operators.
//
// # Usage
//
//	entry run entry.toml
//	entry check entry.toml
//	entry direct run direct.toml    # calls backend servers directly, without sidecars
package main

import (
	"context"
	"os"

	"bamboohill/core/commander"
	"bamboohill/core/logger"
	"bamboohill/entry/internal/director"
	"bamboohill/entry/internal/server"
	"bamboohill/entry/internal/settings"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"
)

func main() {
	commander.Main(commander.Config[settings.Settings]{
		Name:  "entry",
		Usage: "takes callers' requests and operators' changes",
		Level: func(s *settings.Settings) string { return s.Level },
		Run: func(ctx context.Context, s *settings.Settings, l *log.Logger) error {
			entry, err := server.New(server.Config{Settings: *s, Log: l})
			if err != nil {
				return err
			}
			return entry.Run(ctx)
		},
		ExtraCommands: []*cli.Command{commander.Command(direct)},
	})
}

// direct runs the entry of a deployment whose backend servers have no sidecars.
var direct = commander.Config[director.Settings]{
	Name:  "direct",
	Usage: "takes callers' requests and calls backend servers itself",
	Level: func(s *director.Settings) string { return s.Level },
	Run: func(ctx context.Context, s *director.Settings, _ *log.Logger) error {
		sink := logger.NewAsyncWriter(os.Stdout, 0)
		defer sink.Close()
		l, err := logger.New(logger.Config{Program: "entry", Level: s.Level, Sink: sink})
		if err != nil {
			return err
		}
		d, err := director.New(director.Config{Settings: *s, Log: l, Dropped: sink.Dropped})
		if err != nil {
			return err
		}
		return d.Run(ctx)
	},
}
