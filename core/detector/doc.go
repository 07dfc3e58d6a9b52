// Package detector distinguishes crashes of backend servers from lost answers, for
// an entry that calls backend servers itself. It serves to find requests that crash
// every server on which they run and are retried through other entries. Without a
// sidecar, a crash is visible only as a broken connection. A request whose
// connection broke is reported once the crash of its server is confirmed: the
// server refuses connections, its registration expires, or it restarts.
//
// The package has no I/O; the time and the list of backend servers are arguments.
//
// # Usage
//
//	d := detector.New()
//	d.RecordBreak(detector.Break{...}) // a send broke off
//	d.RecordRefused(server.ID, now)    // a connection was refused
//	for _, v := range d.Examine(view.Servers, now) { ... v.Crashed() ... }
package detector
