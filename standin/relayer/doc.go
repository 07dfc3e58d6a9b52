// Package relayer passes TCP connections on: a relay to one address whose
// directions can be cut, and the stand-in of the platform's balancer, which
// spreads callers' connections over the entries that are ready.
//
// # Usage
//
//	r := relayer.New(relayer.Config{Pick: relayer.To("127.0.0.1:5200")})
//	go r.Serve(listener)
//	r.Cut(relayer.Swallow)
//
//	b := relayer.NewBalancer(relayer.BalancerConfig{Targets: entries, Every: time.Second})
//	go b.Run(ctx)
//	go b.Relay().Serve(listener)
//
// Nothing of what passes is read: a balancer knows an entry by the answers of
// GET /readyz alone, asked each Every. The fault late (milliseconds) makes it
// act on an answer that much later: so long it goes on sending to an entry that
// is not ready. A connection to an entry that refuses it is closed, without a
// second try at another.
package relayer
