package gossiper

import (
	"maps"
	"slices"

	"bamboohill/core/keeper"
	"bamboohill/wire"
)

// Limits of the exchange of server reports between entries.
const (
	minServers      = 4  // of a model, below which an entry asks others for reports
	maxWantedModels = 32 // per greeting
	maxReports      = 8  // per reply
	anyModelName    = "*"
)

// wantedModels returns the models that plans contain and of which this entry
// knows fewer than minServers servers. As a server sends heartbeats only to some
// entries, an entry of a large cluster may receive none from the servers of a
// rare model. An entry that has not joined wants any model.
func (g *Gossiper) wantedModels() []string {
	if !g.joined.Load() {
		return []string{anyModelName}
	}
	servers := map[string]int{}
	for _, row := range g.config.Keeper.State().Rows(keeper.KindPlan) {
		for _, o := range row.GetRecord().GetPlan().GetOffers() {
			if o.GetModel() != anyModelName {
				servers[o.GetModel()] = 0
			}
		}
	}
	for _, s := range g.config.Watcher.View().Servers {
		for _, o := range s.GetOffers() {
			if _, wanted := servers[o.GetModel()]; wanted {
				servers[o.GetModel()]++
			}
		}
	}
	maps.DeleteFunc(servers, func(_ string, n int) bool { return n >= minServers })
	all := slices.Sorted(maps.Keys(servers))
	g.shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxWantedModels, len(all))]
}

// wantedReports returns the reports of some servers that offer one of the
// models, or any model if the asking entry has not joined. It only includes
// servers that are neither silent nor failing for this entry itself.
func (g *Gossiper) wantedReports(models []string) []*wire.Report {
	if len(models) == 0 {
		return nil
	}
	var all []*wire.Report
	limit := maxReports
	if wantsAny(models) {
		limit = maxJoinReports
	}
	for _, s := range g.config.Watcher.View().Servers {
		offers := wantsAny(models) || slices.ContainsFunc(s.GetOffers(), func(o *wire.Offer) bool { return slices.Contains(models, o.GetModel()) })
		if offers && !g.config.Watcher.Silent(s) && s.FailedCalls == 0 {
			all = append(all, s.Report)
		}
	}
	g.shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(limit, len(all))]
}
