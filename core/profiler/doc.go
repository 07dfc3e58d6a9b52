// Package profiler knows the kinds of requests that model engines serve: their limits,
// from the active configuration, and their sizes and rates, from traffic. It is designed
// for a load whose mix changes within seconds, and for configurations that change the
// limits while requests of the old ones run.
//
// A Kind is what a streaming route asks of one service. NewKinds collects the kinds of a
// configuration; where there are more than MaxKinds, the nearest are merged and the
// stricter limits hold. Estimates measures the requests of each kind. Derive turns both
// into the Parameters of the cost model of package assigner.
//
// No function reads a clock; only Estimates keeps state.
//
// # Usage
//
//	kinds := profiler.NewKinds(configuration)
//	e := profiler.NewEstimates()
//	e.RecordPrompt(kinds.At(i), tokens, now)
//	e.RecordSlot(kinds.At(i), held, now)
//	p := profiler.Derive(kinds, service, e.Traffic(now), engines, profiler.BySize)
package profiler
