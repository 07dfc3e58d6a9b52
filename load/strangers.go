package main

import (
	"context"
	"fmt"

	"bamboohill/load/internal/badclient"
	"bamboohill/load/internal/settings"

	"github.com/urfave/cli/v3"
)

// strangersError reports the number of inputs to which the entry reacted wrongly.
type strangersError struct {
	Failed int
}

// Error implements error.
func (e *strangersError) Error() string {
	return fmt.Sprintf("load: %d inputs did not get the expected reaction", e.Failed)
}

func strangersCommand() *cli.Command {
	return &cli.Command{
		Name:  "strangers",
		Usage: "send malformed, oversized, slow and idle input to an entry; exit 1 unless it reacts to each as expected",
		Flags: append([]cli.Flag{
			&cli.IntFlag{Name: "idle", Usage: "idle connections to open", Value: 1000},
			&cli.IntFlag{Name: "flood", Usage: "concurrent prompts of 1,000,000 tokens", Value: 0},
		}, targetFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			set, err := loadSettings(c)
			if err != nil {
				return err
			}
			return strangers(ctx, *set, c.Int("idle"), c.Int("flood"))
		},
	}
}

func strangers(ctx context.Context, set settings.Settings, idle, flood int) error {
	client := badclient.New(badclient.Config{Address: set.Entries[0], Key: set.Accounts[0].Key, Model: set.Model, Idle: idle, Flood: flood})
	failed := 0
	for _, r := range client.Run(ctx) {
		fmt.Println(r)
		if !r.Passed() {
			failed++
		}
	}
	if failed > 0 {
		return &strangersError{Failed: failed}
	}
	return nil
}
