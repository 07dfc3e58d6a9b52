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

// maxPushedChanges is the maximum number of changes in a push to another entry.
// It is above 1 so that two pushes that arrive out of order leave no gap. An
// entry that is further behind catches up by itself.
const maxPushedChanges = 4

// PushEntries pushes the active configuration to all live entries concurrently.
// These push it to the sidecars whose heartbeats they receive.
func (g *Gossiper) PushEntries(ctx context.Context) {
	g.TriggerPush()
	state := g.config.Keeper.State()
	g.forEach(ctx, g.Live(), func(ctx context.Context, a string) {
		g.mu.Lock()
		after := max(g.peerSequences[a], state.Sequence-min(state.Sequence, maxPushedChanges))
		g.mu.Unlock()
		reply, err := g.entryClient(a).Push(ctx, state.Since(min(after, state.Sequence)))
		g.mu.Lock()
		defer g.mu.Unlock()
		if err == nil {
			g.peerSequences[a] = reply.GetSequence()
		}
	})
}

// deferInterval is the minimum time between two pushes to one sidecar in a large
// cluster, unless a change is urgent. It is shorter than the time within which a
// change must be active everywhere.
const deferInterval = 6 * time.Second

// urgent reports whether the batch has a change on which the decisions of
// sidecars depend: of a failure domain, a VM or a pardon. Only entries use
// accounts and plans.
func urgent(batch *wire.Batch) bool {
	return slices.ContainsFunc(batch.GetChanges(), func(c *wire.Change) bool {
		kind, _, _ := strings.Cut(c.GetKey(), "/")
		return kind == keeper.KindDomain || kind == keeper.KindVM || kind == keeper.KindPardon
	})
}

// pushLoop pushes to sidecars when a push is triggered, and at each interval for
// pushes that were deferred.
func (g *Gossiper) pushLoop(ctx context.Context) {
	t := time.NewTicker(g.config.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.pushNow:
		}
		g.pushServers(ctx)
	}
}

// shouldPush reports whether this entry must now push to a sidecar that is
// behind. The caller holds the lock.
func (g *Gossiper) shouldPush(s watcher.Server, state *keeper.State, entries []string, now time.Time) bool {
	isUrgent := urgent(state.Since(g.activeSequence(s)))
	if !ranker.InTop(s.GetServer(), entries, g.config.Address, g.pushers(isUrgent)) {
		return false
	}
	last := g.pushed[s.GetServer()]
	return isUrgent || len(g.roster.all) < largeCluster || last.boot != s.GetBoot() || now.Sub(last.at) >= deferInterval
}

// pushers returns the number of entries that push to one sidecar:
// Config.PushersPerSidecar if set, else all in a small cluster, and in a large one
// two for an urgent change and one for others.
func (g *Gossiper) pushers(isUrgent bool) int {
	switch {
	case g.config.PushersPerSidecar > 0:
		return g.config.PushersPerSidecar
	case len(g.roster.all) < largeCluster:
		return len(g.roster.all) + 1
	case isUrgent:
		return 2
	}
	return 1
}

// pushServers pushes the active configuration to the sidecars that are behind
// it.
func (g *Gossiper) pushServers(ctx context.Context) {
	state := g.config.Keeper.State()
	entries := append(g.Live(), g.config.Address)
	behind := map[string]watcher.Server{}
	after := map[string]uint64{}
	now := time.Now()
	var addresses []string
	g.mu.Lock()
	for _, s := range g.config.Watcher.View().Servers {
		if g.activeSequence(s) < state.Sequence && g.shouldPush(s, state, entries, now) {
			behind[s.GetAddress()] = s
			after[s.GetAddress()] = g.activeSequence(s)
			addresses = append(addresses, s.GetAddress())
		}
	}
	g.mu.Unlock()
	g.forEach(ctx, addresses, func(ctx context.Context, a string) {
		s := behind[a]
		batch := state.Since(after[a])
		if batch.Snapshot != nil {
			// The sidecar is too far behind for a push of changes. Sends only the
			// sequence number, so that it pulls a snapshot.
			batch = &wire.Batch{Sequence: state.Sequence}
		}
		sequence, err := g.push(ctx, s, batch)
		g.mu.Lock()
		defer g.mu.Unlock()
		if err == nil {
			g.pushed[s.GetServer()] = pushRecord{boot: s.GetBoot(), sequence: sequence, at: now}
		}
	})
}

// push sends changes to one sidecar, by DirectPush if that succeeds, else by a
// call. It returns the sequence number that is active there.
func (g *Gossiper) push(ctx context.Context, s watcher.Server, batch *wire.Batch) (uint64, error) {
	if g.config.DirectPush != nil {
		if sequence, ok := g.config.DirectPush(ctx, s.GetServer(), s.GetBoot(), batch); ok {
			return sequence, nil
		}
	}
	reply, err := g.sidecarClient(s.GetAddress()).Push(ctx, batch)
	return reply.GetSequence(), err
}

// EntriesFor returns the entries to list in the reply to a server's heartbeat:
// the highest-ranked ones for it among this entry and the live others. They are
// a few more than the server sends heartbeats to.
func (g *Gossiper) EntriesFor(server string) []string {
	return ranker.Top(server, append(g.Live(), g.config.Address), namedEntries)
}

// namedEntries is the number of entries in one reply.
const namedEntries = 6

// PublishAccusation reports a crash suspect to every known entry, including
// those from which no message has arrived yet, as a caller may send the suspect
// through any of them.
func (g *Gossiper) PublishAccusation(ctx context.Context, a *wire.Accusation) {
	g.forEach(ctx, g.Known(), func(ctx context.Context, address string) { g.entryClient(address).Accuse(ctx, a) })
}

// Borrow requests a share of an account's limits from the home entry of the
// account.
func (g *Gossiper) Borrow(ctx context.Context, home string, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return g.entryClient(home).Borrow(ctx, q)
}

// Standing is the configuration that is active at one process.
type Standing struct {
	Name        string // internal address of an entry, id of a backend server
	Sequence    uint64
	Unreachable bool // it did not answer this survey
}

// Survey asks every known entry for the sequence numbers that are active there
// and at the sidecars whose heartbeats it receives. It returns both sorted by
// name.
func (g *Gossiper) Survey(ctx context.Context) (entries, servers []Standing) {
	newest := map[string]*wire.Standing{}
	add := func(all []*wire.Standing) {
		for _, w := range all {
			if current := newest[w.GetServer()]; current == nil || newer(w, current) {
				newest[w.GetServer()] = w
			}
		}
	}
	entries = []Standing{{Name: g.config.Address, Sequence: g.config.Keeper.State().Sequence}}
	known := g.surveyTargets()
	replies := make(chan *wire.Greeting, len(known))
	unreachable := make(chan string, len(known))
	g.forEach(ctx, known, func(ctx context.Context, a string) {
		if reply := g.greet(ctx, a, true); reply != nil {
			replies <- reply
		} else {
			unreachable <- a
		}
	})
	// Read after the calls, so that it is current: calls to unreachable entries
	// take until their timeout.
	add(g.standings())
	close(replies)
	close(unreachable)
	for w := range replies {
		entries = append(entries, Standing{Name: w.GetAddress(), Sequence: w.GetSequence()})
		add(w.GetStandings())
	}
	g.mu.Lock()
	for a := range unreachable {
		entries = append(entries, Standing{Name: a, Sequence: g.peerSequences[a], Unreachable: true})
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

// newer reports whether a is newer than b: from a later boot, or with a higher
// sequence number of the same boot.
func newer(a, b *wire.Standing) bool {
	if a.GetBoot() != b.GetBoot() {
		return a.GetBoot() > b.GetBoot()
	}
	return a.GetSequence() > b.GetSequence()
}

// surveyTargets returns the entries that a survey includes: all that were ever
// reported alive or that are on the list of VMs or in the settings, except those
// that are leaving.
func (g *Gossiper) surveyTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	for address, m := range g.roster.all {
		if (m.permanent || !m.lastSeen.IsZero()) && !m.leaving {
			all = append(all, address)
		}
	}
	return all
}

// standings returns the active sequence numbers of the sidecars whose heartbeats
// this entry receives. It omits leaving sidecars: they accept no work, so no
// operator has to wait for them.
func (g *Gossiper) standings() []*wire.Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*wire.Standing
	view := g.config.Watcher.View()
	for _, s := range slices.Concat(view.Servers, view.Unavailable) {
		if s.GetState() == wire.State_STATE_LEAVING {
			continue
		}
		all = append(all, &wire.Standing{Server: s.GetServer(), Boot: s.GetBoot(), Sequence: g.activeSequence(s)})
	}
	return all
}
