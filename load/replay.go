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

// loads maps the values of --load to the loads.
var loads = map[string]func() replayer.Load{"waves": replayer.Waves, "flood": replayer.Flood, "crowd": replayer.Crowd, "urgent": replayer.Urgent}

// replayCommand returns the command that replays a load on entries that call
// engines directly.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay a load of prompts on emulated engines with a simulated clock",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "load", Value: "waves", Usage: "waves (alternating bursts of short and long prompts), flood (more prompts than the engines can serve), crowd (a burst over many entries) or urgent (urgent short prompts beside less urgent large ones)"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"priced", "least", "random"}, Usage: "policies to compare: " + assigner.PolicyUsage},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the arrivals"},
			&cli.BoolFlag{Name: "unordered", Usage: "waiting prompts decide for themselves, without regard for ranks"},
			&cli.StringFlag{Name: "plots", Usage: "write a plot for each policy to this directory"},
		},
		Action: replay,
	}
}

func replay(_ context.Context, c *cli.Command) error {
	load, found := loads[c.String("load")]
	if !found {
		return fmt.Errorf("load: --load must be waves, flood, crowd or urgent, not %q", c.String("load"))
	}
	for _, name := range c.StringSlice("policy") {
		policy, known := assigner.ParsePolicy(name)
		if !known {
			return fmt.Errorf("load: --policy must be %s, not %q", assigner.PolicyUsage, name)
		}
		result := replayer.Replay(replayer.Config{Load: load(), Policy: policy, Seed: c.Uint64("seed"), Unordered: c.Bool("unordered")})
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
