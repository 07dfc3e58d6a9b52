// Package forwarder serves callers' requests by calling backend servers itself,
// where no sidecar stands between. It owns the life of a request:
//
//	read -> route and account -> place -> send -> relay -> answered
//	                               ^                |
//	                               +---- again <----+ -> failed, refused
//
// What is decided is decided by pure code: assigner places prompts, next (in
// this package) says what follows a failure, budgeter bounds repeats. The
// spelling of headers is behind Dialect.
//
// # Usage
//
//	f := forwarder.New(forwarder.Config{...})
//	server := &http.Server{Handler: f}
package forwarder
