// Package forwarder serves callers' requests by calling backend servers
// directly, without a sidecar. It handles a request in these steps:
//
//	read -> route and account -> place -> send -> relay -> answered
//	                               ^                |
//	                               +---- retry <----+ -> failed, refused
//
// The decisions are pure functions: package assigner places prompts, mayResend
// decides whether to send again after a failure, and package budgeter limits
// retries. Config.Dialect defines the names and formats of headers.
//
// # Usage
//
//	f := forwarder.New(forwarder.Config{...})
//	server := &http.Server{Handler: f}
package forwarder
