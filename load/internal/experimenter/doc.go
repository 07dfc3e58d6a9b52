// Package experimenter compares placement, admission and rate-limit policies
// by discrete-event simulation: it runs the decision code of the entries
// against simplified engines, with a simulated clock and seeded open-loop
// arrivals.
//
// A simulated engine works in steps. Each step prefills up to one chunk of
// prompt tokens, in order of priority, and generates one token for every
// decoding request. An engine has a fixed amount of KV-cache memory, whose free
// part serves as a prefix cache with LRU eviction, and a limit on concurrent
// requests. Each entry has its own view of the engines, built from delayed
// reports, which also carry the prefix cache events.
//
// # Usage
//
//	trace := experimenter.Generate(experimenter.Mix{Seed: 1, Engines: 20, Load: 0.8, Length: 5 * time.Minute})
//	result := experimenter.Run(experimenter.Setup{Engines: 20, Policy: experimenter.Full}, trace)
//
// The same seed gives the same result on every machine.
package experimenter
