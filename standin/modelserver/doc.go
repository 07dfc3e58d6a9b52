// Package modelserver is the stand-in of a model engine. It emulates memory
// counted in tokens, chunked prefill, continuous batching, priorities, a prefix
// cache with delayed and lossy events, resumption, cancellation, export and
// import of KV caches, orders with or without a check of their fencing token,
// and cold starts during which the engine crashes above its capacity.
//
// # Usage
//
//	e := modelserver.New(modelserver.Config{Memory: 400_000, Prefill: 50_000, Decode: 200})
//	defer e.Close()
//	http.ListenAndServe(address, e.Faults.Wrap(e.Handler()))
//
// The answer to a prompt is the deterministic text that core/synthesizer generates
// from it, so that a client can verify it. One goroutine advances all
// jobs in steps of Config.Step. Each step spends the prefill budget in order of
// priority, then emits the decoded tokens.
//
// Besides the common faults of package injector, an engine has these:
//
//	cold      make the engine cold, without a new boot number
//	crash     drop all state, as if the process had died and restarted
//	orphan    a caller's disconnection does not end its job
//	lag       delay of cache events in milliseconds
//	gap       every value-th cache event is lost
//	truncate  streams break off after value tokens, without an end chunk
//	swap      streams carry the answers to other prompts
//	creep     prefill and decode rates are divided by value
//	late      holds one order until the fault is turned off; later orders pass
package modelserver
