// Command entry is the process on the entry VMs: it takes callers' requests
// and operators' changes.
//
// # Usage
//
//	entry run entry.toml
//	entry check entry.toml
package main

import (
	"context"

	"bamboohill/core/commander"
	"bamboohill/entry/internal/server"
	"bamboohill/entry/internal/settings"

	"github.com/phuslu/log"
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
	})
}
