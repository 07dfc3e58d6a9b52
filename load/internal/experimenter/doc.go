// Package experimenter compares placement, admission and limits on one rig:
// the real decision code of the entries against small fake engines, under a
// fake clock and seeded open-loop arrivals.
//
// A fake engine works in steps. A step spends up to a chunk of prefill tokens
// in order of priority and gives every stream in decode one token. It has a
// memory of KV cache, which what is free of it uses as a prefix cache (least
// recently used out first), and a gate that takes so many requests at once.
// Each entry has a view of its own, made of reports that come late; prefix
// cache events ride on them.
//
// # Usage
//
//	trace := experimenter.Generate(experimenter.Mix{Seed: 1, Engines: 20, Load: 0.8, Length: 5 * time.Minute})
//	result := experimenter.Run(experimenter.Setup{Engines: 20, Policy: experimenter.Full}, trace)
//
// The same seed gives the same result on every machine.
package experimenter
