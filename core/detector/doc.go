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
//	d.RecordBroken(server, fingerprint, now) // the connection of a request broke
//	d.RecordRefused(server.ID, now)          // a connection was refused
//	for _, crash := range d.Confirmed(view.Servers, now) { ... }
package detector
