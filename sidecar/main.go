// Command sidecar runs beside one backend server and decides, as the last
// admission check, which requests reach it.
//
// # Usage
//
//	sidecar run sidecar.toml
//	sidecar check sidecar.toml
package main

import (
	"context"

	"bamboohill/core/commander"
	"bamboohill/sidecar/internal/server"
	"bamboohill/sidecar/internal/settings"

	"github.com/phuslu/log"
)

func main() {
	commander.Main(commander.Config[settings.Settings]{
		Name:  "sidecar",
		Usage: "admission control of one backend server",
		Level: func(s *settings.Settings) string { return s.Level },
		Run: func(ctx context.Context, s *settings.Settings, l *log.Logger) error {
			sidecar, err := server.New(server.Config{Settings: *s, Log: l})
			if err != nil {
				return err
			}
			return sidecar.Run(ctx)
		},
	})
}
