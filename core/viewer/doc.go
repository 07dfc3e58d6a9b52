// Package viewer holds the view that an entry has of a deployment whose backend
// servers it calls itself: the configuration, the backend servers and the failure
// domains that are out of service. A View is an immutable snapshot; each change
// publishes a new one through a Viewer.
//
// # Usage
//
//	v := viewer.New()
//	v.SetConfiguration(configuration)
//	v.SetServers(servers)
//	view := v.Load()
//	route, found := view.Configuration.Route(host, path)
//
// A configuration is replaced only by a newer one, so that a running process never
// returns to an older configuration, also when the store does.
package viewer
