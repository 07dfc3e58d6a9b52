package scheduler

import (
	"math"
	"slices"
)

// RoleAny is the wanted role of a backend server that has given up the role it
// was given. An empty wanted role leaves the engine's own alone.
const RoleAny = "any"

// RoleShare is a plan's wish: the part of the backend servers with a model
// that should have a role, from 0 to 1.
type RoleShare struct {
	Role  string
	Share float64
}

// planRoles gives or takes back one role, or returns nil if every wish is met
// to the nearest whole server. A role is given when more than the band is
// missing and taken back when more than the band is in excess; the two lie a
// whole server apart, so a steady fleet settles.
func (f fleet) planRoles() *Change {
	for _, s := range f.servers {
		if f.free(s) {
			if role := f.wished(s); role != "" {
				return &Change{Server: s.ID, Models: s.Models, Role: role}
			}
		}
	}
	for _, s := range f.servers {
		if s.Role != "" && s.Role != RoleAny && !f.keeps(s) {
			return &Change{Server: s.ID, Models: s.Models, Role: RoleAny}
		}
	}
	return nil
}

// missing returns how many servers more than there are a wish asks for;
// negative is an excess. A server with several models counts for each.
func (f fleet) missing(n ModelDemand, w RoleShare) float64 {
	have := 0
	for _, s := range f.servers {
		if s.Role == w.Role && holds(s, n.Model) {
			have++
		}
	}
	return w.Share*float64(f.copies(n.Model)) - float64(have)
}

// free reports whether a server has no role that anybody wishes there.
func (f fleet) free(s Server) bool {
	return s.Role == "" || s.Role == RoleAny || !slices.ContainsFunc(f.needs, func(n ModelDemand) bool {
		return holds(s, n.Model) && slices.ContainsFunc(n.Roles, func(w RoleShare) bool { return w.Role == s.Role })
	})
}

// wished returns the role that is missed most among those wished for a
// server's models, and that none of its models has enough of.
func (f fleet) wished(s Server) string {
	best, most := "", f.policy.Hysteresis
	for _, n := range f.needs {
		for _, w := range n.Roles {
			if !holds(s, n.Model) || w.Role == s.Role {
				continue
			}
			if m := f.missing(n, w); m > most && f.least(s, w.Role) > -f.policy.Hysteresis {
				best, most = w.Role, m
			}
		}
	}
	return best
}

// least returns the smallest number missing of a role among a server's models
// after it took that role.
func (f fleet) least(s Server, role string) float64 {
	least := math.Inf(1)
	for _, n := range f.needs {
		for _, w := range n.Roles {
			if w.Role == role && holds(s, n.Model) {
				least = min(least, f.missing(n, w)-1)
			}
		}
	}
	return least
}

// keeps reports whether a server's role is still wished there: by some model
// that has no excess of it.
func (f fleet) keeps(s Server) bool {
	for _, n := range f.needs {
		for _, w := range n.Roles {
			if w.Role == s.Role && holds(s, n.Model) && f.missing(n, w) >= -f.policy.Hysteresis {
				return true
			}
		}
	}
	return false
}
