package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/generator"
	"bamboohill/core/keeper"
	"bamboohill/core/scheduler"
	"bamboohill/core/storer"
	"bamboohill/entry/internal/averager"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// empty is a table service without rows.
type empty struct{}

func (empty) Get(_ context.Context, key string) (storer.Row, error) {
	return storer.Row{Key: key}, nil
}
func (empty) Scan(context.Context, string, string, int) ([]storer.Row, error) { return nil, nil }
func (empty) Commit(context.Context, storer.Txn) error                        { return nil }

func plan(name string, offers ...*wire.Offer) *wire.Row {
	return &wire.Row{Key: "plan/" + name, Version: 1, Record: &wire.Record{Value: &wire.Record_Plan{Plan: &wire.Plan{Name: name, Offers: offers}}}}
}

// TestModelDemands checks which models the plans name and how demand is shared
// among them.
func TestModelDemands(t *testing.T) {
	base1, base2 := generator.Model{Name: "base", Version: "1"}, generator.Model{Name: "base", Version: "2"}
	fleet := []scheduler.Server{{ID: "e1", Models: []generator.Model{base1, base2}}}
	for name, c := range map[string]struct {
		offers []*wire.Offer
		want   map[string]float64 // share by model@version
	}{
		"every version on a server": {[]*wire.Offer{{Model: "base"}}, map[string]float64{"base@1": 0.25, "base@2": 0.25}},
		"a version on no server":    {[]*wire.Offer{{Model: "crew", Version: "3"}}, map[string]float64{"crew@3": 0.5}},
		"no version, on no server":  {[]*wire.Offer{{Model: "crew"}}, map[string]float64{}},
		"any model":                 {[]*wire.Offer{{Model: "*"}}, map[string]float64{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := keeper.New(keeper.Config{Table: empty{}})
				defer k.Stop()
				is.NoErr(k.ApplyBatch(t.Context(), &wire.Batch{Snapshot: &wire.Snapshot{Sequence: 1, Rows: []*wire.Row{plan("p", c.offers...)}}}))
				p := New(Config{Keeper: k, Interval: time.Second, Demand: averager.New(averager.Config{})})
				p.RecordRequest("base", "", minDemand)
				p.RecordRequest("crew", "3", minDemand)
				got := map[string]float64{}
				for _, d := range p.modelDemands(fleet) {
					got[d.Model.Name+"@"+d.Model.Version] = d.Share
				}
				is.Equal(got, c.want)
			})
		})
	}
}
