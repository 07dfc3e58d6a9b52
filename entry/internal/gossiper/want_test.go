package gossiper

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"bamboohill/wire"

	"github.com/matryer/is"
)

// load reports to every entry the models of its servers: s0, s1 and s10 to s14
// offer a rare model.
func (f *fleet) load() {
	for _, e := range f.entries {
		for _, s := range e.watcher.View().Servers {
			model := "common"
			if s.GetServer() < "s15" {
				model = "rare"
			}
			e.watcher.Record(&wire.Report{
				Server: s.GetServer(), Address: s.GetAddress(), Boot: 1, Serial: 9, Domain: s.GetDomain(),
				Offers: []*wire.Offer{{Model: model}},
			})
		}
	}
}

// offering returns the number of servers with a model that an entry knows.
func (e *entry) offering(model string) int {
	n := 0
	for _, s := range e.watcher.View().Servers {
		if slices.ContainsFunc(s.GetOffers(), func(o *wire.Offer) bool { return o.GetModel() == model }) {
			n++
		}
	}
	return n
}

// TestRareModelIsFound checks that every entry learns of enough servers with a
// rare model. Each of 20 entries receives heartbeats from 4 in 20 of the servers,
// of which 6 offer this model.
func TestRareModelIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(20, 40, 1)
		ctx, end := f.running(t)
		defer end()
		plan := &wire.Plan{Name: "crew", Offers: []*wire.Offer{{Model: "rare"}, {Model: "common"}, {Model: anyModelName}}}
		f.commit(ctx, 1, f.entries[0], "plan/crew", &wire.Record{Value: &wire.Record_Plan{Plan: plan}})
		synctest.Wait()
		f.load()
		synctest.Wait()
		fewest := func(model string) int {
			least := 99
			for _, e := range f.entries {
				least = min(least, e.offering(model))
			}
			return least
		}
		is.True(fewest("rare") < 2) // by heartbeats alone
		rounds := 0
		for ; rounds < 30 && fewest("rare") < minServers; rounds++ {
			for _, e := range f.entries {
				e.gossip.Round(ctx)
			}
			synctest.Wait()
		}
		t.Log(fmt.Sprint("entries=20 rounds=", rounds))
		is.True(fewest("rare") >= minServers)
		for _, e := range f.entries {
			is.True(!slices.Contains(e.gossip.wantedModels(), "rare")) // asks for no more of them
		}
	})
}
