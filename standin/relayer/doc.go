// Package relayer forwards TCP connections. It holds a relay that can drop the
// bytes of either direction, and the stand-in of the platform's load balancer,
// which distributes callers' connections over the entries that are ready.
//
// # Usage
//
//	r := relayer.New(relayer.Config{Pick: relayer.FixedTarget("127.0.0.1:5200")})
//	go r.Serve(listener)
//	r.SetMode(relayer.DropRequests)
//
//	b := relayer.NewBalancer(relayer.BalancerConfig{Targets: entries, Interval: time.Second})
//	go b.Run(ctx)
//	go b.Relay().Serve(listener)
//
// The relay does not interpret the forwarded bytes. The balancer probes each
// entry with GET /readyz, once per Interval. The fault late (milliseconds)
// delays the effect of a probe's result, so that the balancer keeps sending
// connections to an entry that is no longer ready for that time. If an entry
// refuses a connection, the balancer closes the caller's connection and does not
// try another entry.
package relayer
