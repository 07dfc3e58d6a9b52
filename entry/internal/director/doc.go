// Package director runs an entry that calls backend servers itself. It connects
// an adapter of the users' platform, the forwarder and the exchanger, reports
// when the entry is ready, and stops the entry without losing requests.
//
// # Usage
//
//	d, err := director.New(director.Config{Settings: s, Log: l, Dropped: dropped})
//	err = d.Run(ctx)
package director
