package scheduler

import (
	"cmp"
	"slices"

	"bamboohill/core/generator"
)

// Defaults of Policy.
const (
	defaultSlots      = 2
	defaultHysteresis = 0.5
)

// Policy configures Plan. A zero value selects the default.
type Policy struct {
	Slots int // maximum number of models loaded on one engine, default 2
	// Hysteresis is the shortage or excess of a model, in copies, above which
	// Plan moves a copy, default 0.5. Roles have the same bound, in servers.
	Hysteresis float64
}

// Server is the state of one backend server.
type Server struct {
	ID     string
	Models []generator.Model // desired, or the loaded ones if there is no desired state yet
	Role   string            // desired, empty if none was assigned
}

// ModelDemand is the demand for one model that some account plan allows.
type ModelDemand struct {
	Model generator.Model // with the adapters that account plans name
	Share float64         // of all demand, from 0 to 1
	Roles []RoleShare     // requested by account plans
}

// Change is a new desired state of one backend server.
type Change struct {
	Server string
	Models []generator.Model
	Role   string
}

// Plan returns one change that brings the backend servers closer to the
// demands, or nil if no change is needed.
//
// A model's target is its share of the backend servers, in copies. A model is
// short if it has no copy, or if it is below its target by more than the
// hysteresis. It gets a free slot, or else replaces a model that no account
// plan allows, or a model that stays above its target by at least the
// hysteresis without that copy. Plan changes roles only if it moves no model.
//
// The number of copies below which a model gains one and the number above which
// it loses one differ by one copy plus twice the hysteresis, so that the plan
// settles under a steady load.
func Plan(servers []Server, demands []ModelDemand, p Policy) *Change {
	if p.Slots <= 0 {
		p.Slots = defaultSlots
	}
	if p.Hysteresis <= 0 {
		p.Hysteresis = defaultHysteresis
	}
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	if c := planAdapters(servers, demands); c != nil {
		return c
	}
	f := fleet{servers: servers, demands: demands, policy: p}
	var worst *ModelDemand
	for i, d := range demands {
		if f.shortage(d) > 0 && (worst == nil || f.shortage(d) > f.shortage(*worst)) {
			worst = &demands[i]
		}
	}
	if worst != nil {
		if c := f.addModel(worst.Model); c != nil {
			return c
		}
	}
	return f.planRoles()
}

// planAdapters returns a change that adds the missing adapters of a model to a
// server which has the model, or nil if none are missing.
func planAdapters(servers []Server, demands []ModelDemand) *Change {
	for _, s := range servers {
		for i, m := range s.Models {
			for _, d := range demands {
				if !sameModel(m, d.Model) || containsAll(m.Adapters, d.Model.Adapters) {
					continue
				}
				models := slices.Clone(s.Models)
				models[i].Adapters = union(m.Adapters, d.Model.Adapters)
				return &Change{Server: s.ID, Models: models, Role: s.Role}
			}
		}
	}
	return nil
}

// fleet is the input of one call of Plan.
type fleet struct {
	servers []Server
	demands []ModelDemand
	policy  Policy
}

// copies returns the number of servers that have a model.
func (f fleet) copies(m generator.Model) int {
	n := 0
	for _, s := range f.servers {
		if hasModel(s, m) {
			n++
		}
	}
	return n
}

// targetCopies returns the target of a model in copies, not rounded.
func (f fleet) targetCopies(d ModelDemand) float64 { return d.Share * float64(len(f.servers)) }

// shortage returns the number of copies that a model is short of, or 0 if it is
// not short. A model without a copy is shorter than any that has one.
func (f fleet) shortage(d ModelDemand) float64 {
	copies := f.copies(d.Model)
	short := f.targetCopies(d) - float64(copies)
	switch {
	case copies == len(f.servers):
		return 0
	case copies == 0:
		return float64(len(f.servers)) + short
	case short > f.policy.Hysteresis:
		return short
	}
	return 0
}

// canRemove reports whether one copy of a model can be removed.
func (f fleet) canRemove(m generator.Model) bool {
	for _, d := range f.demands {
		if sameModel(d.Model, m) {
			copies := f.copies(m)
			return copies > 1 && float64(copies-1) >= f.targetCopies(d)+f.policy.Hysteresis
		}
	}
	return true // no account plan allows it
}

// addModel returns a change that loads a model on one more server, or nil if no
// server has a slot for it.
func (f fleet) addModel(m generator.Model) *Change {
	for _, s := range f.servers {
		if !hasModel(s, m) && len(s.Models) < f.policy.Slots {
			return &Change{Server: s.ID, Models: append(slices.Clone(s.Models), m), Role: s.Role}
		}
	}
	for _, s := range f.servers {
		if hasModel(s, m) {
			continue
		}
		for i, old := range s.Models {
			if f.canRemove(old) {
				models := slices.Clone(s.Models)
				models[i] = m
				return &Change{Server: s.ID, Models: models, Role: s.Role}
			}
		}
	}
	return nil
}

func sameModel(a, b generator.Model) bool { return a.Name == b.Name && a.Version == b.Version }

func hasModel(s Server, m generator.Model) bool {
	return slices.ContainsFunc(s.Models, func(have generator.Model) bool { return sameModel(have, m) })
}

func containsAll(have, want []string) bool {
	return !slices.ContainsFunc(want, func(a string) bool { return !slices.Contains(have, a) })
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
