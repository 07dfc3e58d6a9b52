// Command entry is the process on the entry VMs: it takes callers' requests
// and operators' changes.
//
// # Usage
//
//	entry run entry.toml
//	entry check entry.toml
//	entry direct run direct.toml    # calls backend servers itself, without sidecars
package main

import (
	"context"

	"bamboohill/core/commander"
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
		More: []*cli.Command{commander.Command(direct)},
	})
}

// direct is the entry of a deployment whose backend servers have no sidecars.
var direct = commander.Config[director.Settings]{
	Name:  "direct",
	Usage: "takes callers' requests and calls backend servers itself",
	Level: func(s *director.Settings) string { return s.Level },
	Run: func(ctx context.Context, s *director.Settings, l *log.Logger) error {
		d, err := director.New(director.Config{Settings: *s, Log: l})
		if err != nil {
			return err
		}
		return d.Run(ctx)
	},
}
