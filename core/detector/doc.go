// Package detector tells crashes of backend servers from lost answers, for an
// entry that calls them itself. It answers the load pattern of a request that
// crashes whatever runs it and is sent again through other entries: without a
// sidecar nobody sees a backend server die, only connections that break. A
// request that was at a backend server when its connection broke is named once
// the death is shown: the server refuses connections, its registration expires,
// or it starts anew.
//
// The package is pure: the clock and the list of backend servers are passed in.
//
// # Usage
//
//	a := detector.New()
//	a.Broke(server, fingerprint, now)       // a send broke off
//	a.Refused(server.ID, now)               // a connection was refused
//	for _, death := range a.Shown(view.Servers, now) { ... }
package detector
