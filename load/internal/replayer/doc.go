// Package replayer replays loads of prompts against the decisions of entries
// that call model engines themselves, with emulated engines and a fake clock: a
// minute of a deployment takes less than a second, and every run is the same.
//
// # Usage
//
//	result := replayer.Replay(replayer.Config{Load: replayer.Waves(), Policy: assigner.CostBased{}})
//	result.Write(os.Stdout)
//
// Each entry has books of its own and hears of the others' work with a delay,
// as on the wire. A caller that is refused comes back once, when it was told.
package replayer
