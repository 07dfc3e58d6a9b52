package gossiper

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"bamboohill/core/keeper"
	"bamboohill/core/ranker"
	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// pushedChanges is how many changes a push to another entry carries at most:
// more than one, so that two that overtake each other leave no gap. An entry
// that is further behind catches up by itself.
const pushedChanges = 4

// PushEntries pushes what is in force here to every live entry, at once. The
// entries push it to the sidecars that they hear.
func (g *Gossiper) PushEntries(ctx context.Context) {
	g.TriggerPush()
	state := g.config.Keeper.State()
	g.each(ctx, g.Live(), func(ctx context.Context, a string) {
		g.mu.Lock()
		after := max(g.peers[a], state.Sequence-min(state.Sequence, pushedChanges))
		g.mu.Unlock()
		reply, err := g.peer(a).Push(ctx, state.Since(min(after, state.Sequence)))
		g.mu.Lock()
		defer g.mu.Unlock()
		if err == nil {
			g.peers[a] = reply.GetSequence()
		}
	})
}

// lazyAfter lies between two pushes to one sidecar when entries are many,
// unless a change is urgent. It is within the time that a change may take.
const lazyAfter = 6 * time.Second

// urgent reports whether a gate decides by one of the changes: what is in
// service and who is pardoned. Accounts and plans are looked at by entries.
func urgent(batch *wire.Batch) bool {
	return slices.ContainsFunc(batch.GetChanges(), func(c *wire.Change) bool {
		kind, _, _ := strings.Cut(c.GetKey(), "/")
		return kind == keeper.KindDomain || kind == keeper.KindVM || kind == keeper.KindPardon
	})
}

// spreadLoop pushes to sidecars whenever this entry's configuration or view
// has changed, and what was put off when its time has come.
func (g *Gossiper) spreadLoop(ctx context.Context) {
	t := time.NewTicker(g.config.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.wake:
		}
		g.pushServers(ctx)
	}
}

// due reports whether this entry is to push to a sidecar that is behind, now;
// the lock is held.
func (g *Gossiper) due(s watcher.Server, state *keeper.State, entries []string, now time.Time) bool {
	hurry := urgent(state.Since(g.taken(s)))
	if !ranker.InTop(s.GetServer(), entries, g.config.Address, g.copies(hurry)) {
		return false
	}
	m := g.sent[s.GetServer()]
	return hurry || len(g.roster.all) < gapEntries || m.boot != s.GetBoot() || now.Sub(m.at) >= lazyAfter
}

// copies is how many entries push to one sidecar: as Config says, else all
// while they are few, one when they are many, and two what is urgent.
func (g *Gossiper) copies(hurry bool) int {
	switch {
	case g.config.PushersPerSidecar > 0:
		return g.config.PushersPerSidecar
	case len(g.roster.all) < gapEntries:
		return len(g.roster.all) + 1
	case hurry:
		return 2
	}
	return 1
}

// pushServers pushes the configuration in force to the sidecars that are
// behind it.
func (g *Gossiper) pushServers(ctx context.Context) {
	state := g.config.Keeper.State()
	entries := append(g.Live(), g.config.Address)
	behind := map[string]watcher.Server{}
	after := map[string]uint64{}
	now := time.Now()
	var addresses []string
	g.mu.Lock()
	for _, s := range g.config.Watcher.View().Servers {
		if g.taken(s) < state.Sequence && g.due(s, state, entries, now) {
			behind[s.GetAddress()] = s
			after[s.GetAddress()] = g.taken(s)
			addresses = append(addresses, s.GetAddress())
		}
	}
	g.mu.Unlock()
	g.each(ctx, addresses, func(ctx context.Context, a string) {
		s := behind[a]
		batch := state.Since(after[a])
		if batch.Snapshot != nil {
			// It is far behind: tell it so, and let it pull.
			batch = &wire.Batch{Sequence: state.Sequence}
		}
		sequence, err := g.push(ctx, s, batch)
		g.mu.Lock()
		defer g.mu.Unlock()
		if err == nil {
			g.sent[s.GetServer()] = mark{boot: s.GetBoot(), sequence: sequence, at: now}
		}
	})
}

// push delivers changes to one sidecar, by a call if nothing shorter does, and
// returns the sequence number in force there.
func (g *Gossiper) push(ctx context.Context, s watcher.Server, batch *wire.Batch) (uint64, error) {
	if g.config.DirectPush != nil {
		if sequence, taken := g.config.DirectPush(ctx, s.GetServer(), s.GetBoot(), batch); taken {
			return sequence, nil
		}
	}
	reply, err := g.gate(s.GetAddress()).Push(ctx, batch)
	return reply.GetSequence(), err
}

// EntriesFor returns the entries that a heartbeat's reply names to a server: this
// one and the others that rank first for it, a few more than it beats to.
func (g *Gossiper) EntriesFor(server string) []string {
	return ranker.Top(server, append(g.Live(), g.config.Address), namedWidth)
}

// namedWidth is how many entries one reply names.
const namedWidth = 6

// PublishAccusation tells every known entry of a crash suspect, also those that have not
// been heard yet: a suspect may be sent through any of them.
func (g *Gossiper) PublishAccusation(ctx context.Context, a *wire.Accusation) {
	g.each(ctx, g.Known(), func(ctx context.Context, address string) { g.peer(address).Accuse(ctx, a) })
}

// Borrow asks an account's home entry for a share of its limits.
func (g *Gossiper) Borrow(ctx context.Context, home string, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return g.peer(home).Borrow(ctx, q)
}

// Standing is the configuration in force at one process.
type Standing struct {
	Name     string // inner address of an entry, id of a backend server
	Sequence uint64
	Unreachable   bool // it did not answer just now
}

// Survey asks every known entry what is in force there and at the sidecars
// that it hears.
func (g *Gossiper) Survey(ctx context.Context) (entries, servers []Standing) {
	newest := map[string]*wire.Standing{}
	add := func(all []*wire.Standing) {
		for _, w := range all {
			if old := newest[w.GetServer()]; old == nil || later(w, old) {
				newest[w.GetServer()] = w
			}
		}
	}
	entries = []Standing{{Name: g.config.Address, Sequence: g.config.Keeper.State().Sequence}}
	known := g.surveyed()
	answers := make(chan *wire.Greeting, len(known))
	silent := make(chan string, len(known))
	g.each(ctx, known, func(ctx context.Context, a string) {
		if reply := g.greet(ctx, a, true); reply != nil {
			answers <- reply
		} else {
			silent <- a
		}
	})
	// Looked at last: those that do not answer have taken their time.
	add(g.standings())
	close(answers)
	close(silent)
	for w := range answers {
		entries = append(entries, Standing{Name: w.GetAddress(), Sequence: w.GetSequence()})
		add(w.GetStandings())
	}
	g.mu.Lock()
	for a := range silent {
		entries = append(entries, Standing{Name: a, Sequence: g.peers[a], Unreachable: true})
	}
	g.mu.Unlock()
	for _, w := range newest {
		servers = append(servers, Standing{Name: w.GetServer(), Sequence: w.GetSequence()})
	}
	order := func(a, b Standing) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(entries, order)
	slices.SortFunc(servers, order)
	return entries, servers
}

// later reports whether a says more than b: of a newer boot, or more in force.
func later(a, b *wire.Standing) bool {
	if a.GetBoot() != b.GetBoot() {
		return a.GetBoot() > b.GetBoot()
	}
	return a.GetSequence() > b.GetSequence()
}

// surveyed returns the entries whose configuration counts: all that were ever
// heard or that settings or the list of VMs name, but those that leave.
func (g *Gossiper) surveyed() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	for address, m := range g.roster.all {
		if (m.fixed || !m.heard.IsZero()) && !m.leaving {
			all = append(all, address)
		}
	}
	return all
}

// standings is what the sidecars that this entry hears have in force. Those that
// leave take no work, so nobody waits for them.
func (g *Gossiper) standings() []*wire.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*wire.Standing
	view := g.config.Watcher.View()
	for _, s := range slices.Concat(view.Servers, view.Unavailable) {
		if s.GetState() == wire.State_STATE_LEAVING {
			continue
		}
		all = append(all, &wire.Standing{Server: s.GetServer(), Boot: s.GetBoot(), Sequence: g.taken(s)})
	}
	return all
}
