package gossiper

import (
	"slices"
	"time"

	"bamboohill/wire"
)

// Parameters of joining.
const (
	joinInterval   = 100 * time.Millisecond // longest time between rounds; short, as the entry takes no callers until it has joined
	joinTimeout    = 3 * time.Second        // equal to the silence timeout after which a backend server is inspected
	maxJoinReports = 64                     // per reply; with 340 entries, four replies cover the servers that one entry receives heartbeats from
)

// Joined reports whether this entry has learned of backend servers, from other
// entries or from heartbeats, or has waited for joinTimeout. This is needed in a
// rolling restart: the load balancer sends requests to a new entry as soon as it
// is ready, and an entry that knows no backend server would refuse them, as
// heartbeats are up to a quarter of a minute apart.
func (g *Gossiper) Joined() bool { return g.joined.Load() }

// updateJoined determines after a round whether this entry has joined.
func (g *Gossiper) updateJoined(now time.Time) {
	if g.joined.Load() {
		return
	}
	g.mu.Lock()
	g.rounds++
	rounds, peerReported, waited := g.rounds, g.peerReported, now.Sub(g.started)
	g.mu.Unlock()
	servers := len(g.config.Watcher.View().Servers)
	if servers > 0 && (peerReported || rounds > 1) || waited >= joinTimeout {
		g.joined.Store(true)
		if g.config.Log != nil {
			g.config.Log.Info().Str("event", "joined").Int("servers", servers).Bool("peer_reported", peerReported).
				Float64("waited_ms", float64(waited.Milliseconds())).Msg("")
		}
	}
}

// recordReports records, until this entry has joined, whether a ready peer has
// reported servers.
func (g *Gossiper) recordReports(reply *wire.Greeting) {
	if g.joined.Load() || !reply.GetReady() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peerReported = g.peerReported || len(reply.GetReports()) > 0
}

// wantsAny reports whether a peer that asks for these models wants reports of
// servers with any model.
func wantsAny(models []string) bool { return slices.Contains(models, anyModelName) }
