// Package replayer simulates a load of prompts on entries that call model
// engines directly. It runs the placement code of the entries against emulated
// engines with a simulated clock: a minute of a deployment takes less than a
// second. Runs with one seed give the same result, unless the policy draws from
// a random source of its own.
//
// # Usage
//
//	result := replayer.Replay(replayer.Config{Load: replayer.Waves(), Policy: assigner.CostBased{}})
//	result.Write(os.Stdout)
//
// Each entry tracks its own placements and learns those of the other entries
// with a delay, as over the network. A refused caller retries once, after a
// delay.
package replayer
