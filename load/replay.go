package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"bamboohill/core/assigner"
	"bamboohill/load/internal/replayer"

	"github.com/urfave/cli/v3"
)

// loads are the loads that can be replayed, by name.
var loads = map[string]func() replayer.Load{"waves": replayer.Waves, "flood": replayer.Flood, "crowd": replayer.Crowd}

// replayCommand replays a load against the decisions of entries that call
// engines themselves.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay a load of prompts on emulated engines, under a fake clock",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "load", Value: "waves", Usage: "waves (floods of short and waves of long prompts), flood (beyond what engines hold) or crowd (a flood over many entries)"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"priced", "least", "random"}, Usage: "policies to compare: " + assigner.PolicyUsage},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.StringFlag{Name: "plots", Usage: "write a plot for each policy to this folder"},
		},
		Action: replay,
	}
}

func replay(_ context.Context, c *cli.Command) error {
	load, found := loads[c.String("load")]
	if !found {
		return fmt.Errorf("load: --load must be waves, flood or crowd, not %q", c.String("load"))
	}
	for _, name := range c.StringSlice("policy") {
		policy, known := assigner.ParsePolicy(name)
		if !known {
			return fmt.Errorf("load: --policy must be %s, not %q", assigner.PolicyUsage, name)
		}
		result := replayer.Replay(replayer.Config{Load: load(), Policy: policy, Seed: c.Uint64("seed")})
		fmt.Printf("load=%s policy=%s seed=%d\n", c.String("load"), name, c.Uint64("seed"))
		if err := result.Write(os.Stdout); err != nil {
			return err
		}
		if dir := c.String("plots"); dir != "" {
			path := filepath.Join(dir, c.String("load")+"-"+name+".png")
			if err := result.Plot(c.String("load")+", "+name, path); err != nil {
				return err
			}
		}
	}
	return nil
}
