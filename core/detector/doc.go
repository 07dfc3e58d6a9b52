// Package detector distinguishes crashes of backend servers from lost answers, for
// an entry that calls backend servers itself. It serves to find requests that crash
// every server on which they run and are retried through other entries. Without a
// sidecar, a crash is visible only as a send that ends without a complete answer:
// the connection breaks, or the server falls silent until the caller leaves or the
// time is up. Such a send is reported once the crash of its server, or of one of
// its helpers, is confirmed: the server refuses connections, its registration
// expires, or it restarts. It is dismissed once all of them have shown signs of life
// after it.
//
// The package has no I/O; the time and what the entry knows of the backend servers
// are arguments.
//
// # Usage
//
//	d := detector.New()
//	d.RecordBreak(detector.Break{...}) // a send broke off
//	d.RecordRefused(server.ID, now)    // a connection was refused
//	for _, v := range d.Examine(observations, now) { ... v.Confirmed() ... }
package detector
