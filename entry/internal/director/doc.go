// Package director runs an entry that calls backend servers itself: it joins
// an adapter of the users' platform, the forwarder and the exchange with other
// entries, says when the entry is ready, and stops it without losing requests.
//
// # Usage
//
//	d, err := director.New(director.Config{Settings: s, Log: l})
//	err = d.Run(ctx)
package director
