package gossiper

import (
	"slices"
	"time"

	"bamboohill/wire"
)

// Bounds of joining.
const (
	joinGap      = 100 * time.Millisecond // between rounds: callers are sent elsewhere meanwhile
	joinPatience = 3 * time.Second        // the silence after which a server is asked after
	joinReports  = 64                     // in one reply: four replies name the servers that one of 340 entries hears
)

// Joined reports whether this entry has heard of backend servers, from other
// entries or from their own heartbeats, or has waited for long enough. It
// answers the load pattern of a rolling restart: the balancer sends requests to
// a new entry as soon as that is ready, and one that knows no backend server
// would refuse them, as heartbeats come up to a quarter of a minute apart.
func (g *Gossiper) Joined() bool { return g.joined.Load() }

// join judges after a round whether this entry has joined.
func (g *Gossiper) join(now time.Time) {
	if g.joined.Load() {
		return
	}
	g.mu.Lock()
	g.rounds++
	rounds, told, waited := g.rounds, g.told, now.Sub(g.begun)
	g.mu.Unlock()
	servers := len(g.config.Watcher.View().Servers)
	if servers > 0 && (told || rounds > 1) || waited >= joinPatience {
		g.joined.Store(true)
		if g.config.Log != nil {
			g.config.Log.Info().Str("event", "joined").Int("servers", servers).Bool("told", told).
				Float64("waited_ms", float64(waited.Milliseconds())).Msg("")
		}
	}
}

// welcome takes what a peer says of its servers to a new entry.
func (g *Gossiper) welcome(reply *wire.Greeting) {
	if g.joined.Load() || !reply.GetReady() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told = g.told || len(reply.GetReports()) > 0
}

// everything reports whether a peer that asks for these models wants to hear of
// all backend servers.
func everything(models []string) bool { return slices.Contains(models, anyModelName) }
