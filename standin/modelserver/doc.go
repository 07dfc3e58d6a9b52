// Package modelserver is the stand-in of a model engine: memory counted in tokens,
// chunked prefill, continuous batching, priorities, a prefix cache with late
// and lossy events, resumption, cancellation, export and import of caches,
// orders with or without a fencing check, and cold starts that crash when they
// are given more than they bear.
//
// # Usage
//
//	e := modelserver.New(answerer.Config{Memory: 400_000, Prefill: 50_000, Decode: 200})
//	defer e.Close()
//	http.ListenAndServe(address, e.Faults.Wrap(e.Handler()))
//
// The answer to a prompt is the text that core/texter makes of it, so a client
// can check what it gets. One goroutine advances all jobs in steps of
// Config.Step; every step spends the prefill budget in order of priority, then
// emits the tokens that are due.
//
// Besides the common faults of package injector it has cold (turn cold, without
// a new boot number), crash (as if the process had died and started again),
// orphan (a caller that leaves does not end its job), lag (milliseconds by
// which cache events are late), gap (every value-th cache event is lost),
// truncate (streams stop after value tokens without their end), swap (every
// stream gives the answer to another prompt) and creep (speeds divided by
// value).
package modelserver
