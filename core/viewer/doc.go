// Package viewer holds what an entry believes of a deployment whose backend
// servers it calls itself: the configuration, the backend servers and the
// failure domains that are out. A View is immutable; whoever learns something
// publishes a new one through a Viewer.
//
// # Usage
//
//	v := viewer.New()
//	v.Configure(configuration)
//	v.List(servers)
//	view := v.Load()
//	route, found := view.Configuration.Route(host, path)
//
// A configuration is replaced only by one with a higher revision, so that what
// a process serves never goes back while it runs.
package viewer
