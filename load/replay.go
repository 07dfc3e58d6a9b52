package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"bamboohill/core/assigner"
	"bamboohill/core/profiler"
	"bamboohill/load/internal/replayer"

	"github.com/urfave/cli/v3"
)

// loads maps the values of --load to the loads.
var loads = map[string]func() replayer.Load{
	"waves": replayer.Waves, "flood": replayer.Flood, "crowd": replayer.Crowd, "unlike": replayer.Unlike, "urgent": replayer.Urgent, "power": replayer.PowerLoss,
	"alternating":      func() replayer.Load { return replayer.KindWaves(1) },
	"alternating-wide": func() replayer.Load { return replayer.KindWavesWide(1) },
	"alternating-many": func() replayer.Load { return replayer.KindWavesMany(1) },
	"kinds-1":          func() replayer.Load { return replayer.Mixed(1) }, "kinds-2": func() replayer.Load { return replayer.Mixed(2) }, "kinds-3": func() replayer.Load { return replayer.Mixed(3) },
	"domains-11": func() replayer.Load { return replayer.Alternating(11, 54, 1) }, "domains-26": func() replayer.Load { return replayer.Alternating(26, 60, 1.1) },
}

// replayCommand returns the command that replays a load on entries that call
// engines directly.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay a load of prompts on emulated engines with a simulated clock",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "load", Value: "waves", Usage: "waves (alternating bursts of short and long prompts), flood (more prompts than the engines can serve), crowd (a burst over many entries), unlike (waves on engines of three speeds), urgent (urgent short prompts beside less urgent large ones), power (all callers of two seconds at once, after all entries lost power), alternating, alternating-wide or alternating-many (waves of short and of the largest prompts by turns, over 4, 11 and 26 entries), kinds-1 to kinds-3 (waves of five kinds with drawn limits), or domains-11 and domains-26 (waves over three failure domains in turn, by entries)"},
			&cli.StringFlag{Name: "speeds", Value: "estimated", Usage: "what entries know about the speed of engines: unknown, estimated or known"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"priced", "least", "random"}, Usage: "policies to compare: " + assigner.PolicyUsage + "; or reference, priced with fixed parameters"},
			&cli.StringFlag{Name: "valuing", Value: "size", Usage: "what the value of an answer depends on: " + profiler.ValuingUsage},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the arrivals"},
			&cli.DurationFlag{Name: "foresight", Usage: "time ahead for which entries know the true rates; 0 for none"},
			&cli.BoolFlag{Name: "unordered", Usage: "waiting prompts decide for themselves, without regard for ranks"},
			&cli.StringFlag{Name: "plots", Usage: "write a plot for each policy to this directory"},
		},
		Action: replay,
	}
}

func replay(_ context.Context, c *cli.Command) error {
	load, found := loads[c.String("load")]
	if !found {
		return fmt.Errorf("load: --load must be waves, flood, crowd, unlike, urgent, power, alternating, alternating-wide, alternating-many, kinds-1, kinds-2, kinds-3, domains-11 or domains-26, not %q", c.String("load"))
	}
	valuing, found := profiler.ParseValuing(c.String("valuing"))
	if !found {
		return fmt.Errorf("load: --valuing must be %s, not %q", profiler.ValuingUsage, c.String("valuing"))
	}
	speeds, found := replayer.SpeedNames[c.String("speeds")]
	if !found {
		return fmt.Errorf("load: --speeds must be unknown, estimated or known, not %q", c.String("speeds"))
	}
	for _, name := range c.StringSlice("policy") {
		config := replayer.Config{Load: load(), Seed: c.Uint64("seed"), Valuing: valuing, Speeds: speeds, Unordered: c.Bool("unordered")}
		policy, known := assigner.ParsePolicy(name)
		if name == "reference" {
			policy, known, config.Terms = assigner.CostBased{}, true, replayer.Reference
		}
		config.Policy = policy
		if ahead := c.Duration("foresight"); ahead > 0 {
			config.Foresight = &replayer.Foresight{Horizon: ahead, Keep: 1}
		}
		if !known {
			return fmt.Errorf("load: --policy must be %s, not %q", assigner.PolicyUsage, name)
		}
		result := replayer.Replay(config)
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
