package main

import (
	"context"
	"fmt"

	"bamboohill/load/internal/settings"
	"bamboohill/load/internal/stranger"

	"github.com/urfave/cli/v3"
)

// strangerError says how many bad inputs were not met as they should be.
type strangerError struct {
	Broken int
}

// Error implements error.
func (e *strangerError) Error() string {
	return fmt.Sprintf("load: %d bad inputs were not met as they should be", e.Broken)
}

func strangersCommand() *cli.Command {
	return &cli.Command{
		Name:  "strangers",
		Usage: "send one entry what a stranger might: broken, huge, slow and idle; exit 1 unless each is met as it should be",
		Flags: append([]cli.Flag{
			&cli.IntFlag{Name: "idle", Usage: "idle connections to open", Value: 1000},
			&cli.IntFlag{Name: "flood", Usage: "prompts of 1 M tokens sent at once", Value: 0},
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
	s := stranger.New(stranger.Config{Address: set.Entries[0], Key: set.Accounts[0].Key, Model: set.Model, Idle: idle, Flood: flood})
	broken := 0
	for _, seen := range s.Run(ctx) {
		fmt.Println(seen)
		if !seen.Holds() {
			broken++
		}
	}
	if broken > 0 {
		return &strangerError{Broken: broken}
	}
	return nil
}
