package scheduler

import (
	"cmp"
	"slices"

	"bamboohill/core/generator"
)

// Defaults of Policy.
const (
	defaultSlots = 2
	defaultBand  = 0.5
)

// Policy bounds what Plan changes. The zero Slots is 2 and the zero Band 0.5.
type Policy struct {
	Slots      int     // models that one engine has loaded
	Hysteresis float64 // backend servers' worth of demand by which a model must be short, or in excess, before it moves
}

// Server is one backend server as the planner sees it.
type Server struct {
	ID     string
	Models []generator.Model // wanted, or loaded if nothing is wanted yet
	Role   string            // wanted, empty if none was given
}

// ModelDemand is one model that some plan allows.
type ModelDemand struct {
	Model generator.Model // with the adapters that plans name
	Share float64         // of all demand, from 0 to 1
	Roles []RoleShare
}

// Change is a new wanted state of one backend server.
type Change struct {
	Server string
	Models []generator.Model
	Role   string
}

// Plan returns at most one change that brings the backend servers nearer to
// the needs, nil when they are near enough.
//
// A model is short if it has no copy, or fewer copies than its share of the
// backend servers by more than the band. It gets a free slot, or the place of
// a model that no plan allows, or of one that keeps more copies than its share
// by the band after the loss. Roles come when no model moves. What makes a model short and what makes it give
// a place lie one whole copy and two bands apart, so a steady load settles.
func Plan(servers []Server, needs []ModelDemand, p Policy) *Change {
	if p.Slots <= 0 {
		p.Slots = defaultSlots
	}
	if p.Hysteresis <= 0 {
		p.Hysteresis = defaultBand
	}
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	if c := planAdapters(servers, needs); c != nil {
		return c
	}
	f := fleet{servers: servers, needs: needs, policy: p}
	var worst *ModelDemand
	for i, n := range needs {
		if f.lack(n) > 0 && (worst == nil || f.lack(n) > f.lack(*worst)) {
			worst = &needs[i]
		}
	}
	if worst != nil {
		if c := f.place(worst.Model); c != nil {
			return c
		}
	}
	return f.planRoles()
}

// planAdapters adds adapters that plans name to a server that has their model.
func planAdapters(servers []Server, needs []ModelDemand) *Change {
	for _, s := range servers {
		for i, m := range s.Models {
			for _, n := range needs {
				if !same(m, n.Model) || covers(m.Adapters, n.Model.Adapters) {
					continue
				}
				models := slices.Clone(s.Models)
				models[i].Adapters = union(m.Adapters, n.Model.Adapters)
				return &Change{Server: s.ID, Models: models, Role: s.Role}
			}
		}
	}
	return nil
}

type fleet struct {
	servers []Server
	needs   []ModelDemand
	policy  Policy
}

func (f fleet) copies(m generator.Model) int {
	n := 0
	for _, s := range f.servers {
		if holds(s, m) {
			n++
		}
	}
	return n
}

// share returns a need's share in backend servers.
func (f fleet) share(n ModelDemand) float64 { return n.Share * float64(len(f.servers)) }

// lack returns by how many copies a model is short, 0 if it is near enough.
func (f fleet) lack(n ModelDemand) float64 {
	copies := f.copies(n.Model)
	short := f.share(n) - float64(copies)
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

// spare reports whether a model can give up one copy.
func (f fleet) spare(m generator.Model) bool {
	for _, n := range f.needs {
		if same(n.Model, m) {
			copies := f.copies(m)
			return copies > 1 && float64(copies-1) >= f.share(n)+f.policy.Hysteresis
		}
	}
	return true // no plan allows it
}

func (f fleet) place(m generator.Model) *Change {
	for _, s := range f.servers {
		if !holds(s, m) && len(s.Models) < f.policy.Slots {
			return &Change{Server: s.ID, Models: append(slices.Clone(s.Models), m), Role: s.Role}
		}
	}
	for _, s := range f.servers {
		if holds(s, m) {
			continue
		}
		for i, old := range s.Models {
			if f.spare(old) {
				models := slices.Clone(s.Models)
				models[i] = m
				return &Change{Server: s.ID, Models: models, Role: s.Role}
			}
		}
	}
	return nil
}

func same(a, b generator.Model) bool { return a.Name == b.Name && a.Version == b.Version }

func holds(s Server, m generator.Model) bool {
	return slices.ContainsFunc(s.Models, func(have generator.Model) bool { return same(have, m) })
}

func covers(have, want []string) bool {
	return !slices.ContainsFunc(want, func(a string) bool { return !slices.Contains(have, a) })
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
