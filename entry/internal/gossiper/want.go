package gossiper

import (
	"maps"
	"slices"

	"bamboohill/core/keeper"
	"bamboohill/wire"
)

// Bounds of what entries tell each other of servers.
const (
	wantServers  = 4  // of a model, below which an entry asks for more
	wantModels   = 32 // named in one greeting
	wantReports  = 8  // in one reply
	anyModelName = "*"
)

// wants returns the models that plans name and of which this entry hears few
// servers. A server beats to some entries alone, so of a model with few
// servers an entry among many may hear none. A new entry wants any.
func (g *Gossiper) wants() []string {
	if !g.joined.Load() {
		return []string{anyModelName}
	}
	heard := map[string]int{}
	for _, row := range g.config.Keeper.State().Rows(keeper.KindPlan) {
		for _, o := range row.GetRecord().GetPlan().GetOffers() {
			if o.GetModel() != anyModelName {
				heard[o.GetModel()] = 0
			}
		}
	}
	for _, s := range g.config.Watcher.View().Servers {
		for _, o := range s.GetOffers() {
			if _, named := heard[o.GetModel()]; named {
				heard[o.GetModel()]++
			}
		}
	}
	maps.DeleteFunc(heard, func(_ string, n int) bool { return n >= wantServers })
	all := slices.Sorted(maps.Keys(heard))
	g.shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(wantModels, len(all))]
}

// offering returns the reports of some servers that this entry hears itself
// and that offer one of the models, or of any if the asker is new.
func (g *Gossiper) offering(models []string) []*wire.Report {
	if len(models) == 0 {
		return nil
	}
	var all []*wire.Report
	most := wantReports
	if everything(models) {
		most = joinReports
	}
	for _, s := range g.config.Watcher.View().Servers {
		offers := everything(models) || slices.ContainsFunc(s.GetOffers(), func(o *wire.Offer) bool { return slices.Contains(models, o.GetModel()) })
		if offers && !g.config.Watcher.Silent(s) && s.FailedCalls == 0 {
			all = append(all, s.Report)
		}
	}
	g.shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(most, len(all))]
}
