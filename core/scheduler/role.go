package scheduler

import (
	"math"
	"slices"
)

// RoleAny is the desired role of a backend server whose assigned role was
// removed. If the desired role is empty, the engine keeps its own.
const RoleAny = "any"

// RoleShare requests that a fraction of the backend servers that have a model,
// from 0 to 1, be assigned a role.
type RoleShare struct {
	Role  string
	Share float64
}

// planRoles returns a change that assigns or removes one role, or nil if every
// requested share is met to the nearest whole server. A role is assigned if the
// servers that have it are too few by more than the hysteresis, and removed if
// they are too many by more than that. At the default hysteresis the two
// thresholds are a whole server apart, so that the plan of a steady fleet
// settles.
func (f fleet) planRoles() *Change {
	for _, s := range f.servers {
		if f.canTakeRole(s) {
			if role := f.neededRole(s); role != "" {
				return &Change{Server: s.ID, Models: s.Models, Role: role}
			}
		}
	}
	for _, s := range f.servers {
		if s.Role != "" && s.Role != RoleAny && !f.roleNeeded(s) {
			return &Change{Server: s.ID, Models: s.Models, Role: RoleAny}
		}
	}
	return nil
}

// roleDeficit returns the number of servers that are missing for a requested
// share, negative if there are too many. A server with several models counts
// for each of them.
func (f fleet) roleDeficit(d ModelDemand, r RoleShare) float64 {
	have := 0
	for _, s := range f.servers {
		if s.Role == r.Role && hasModel(s, d.Model) {
			have++
		}
	}
	return r.Share*float64(f.copies(d.Model)) - float64(have)
}

// canTakeRole reports whether a server has no role that is requested for one of
// its models.
func (f fleet) canTakeRole(s Server) bool {
	return s.Role == "" || s.Role == RoleAny || !slices.ContainsFunc(f.demands, func(d ModelDemand) bool {
		return hasModel(s, d.Model) && slices.ContainsFunc(d.Roles, func(r RoleShare) bool { return r.Role == s.Role })
	})
}

// neededRole returns the role with the highest deficit among the roles that are
// requested for a server's models, or "" if there is none. It leaves out a role
// of which one of these models would have too many servers.
func (f fleet) neededRole(s Server) string {
	role, highest := "", f.policy.Hysteresis
	for _, d := range f.demands {
		for _, r := range d.Roles {
			if !hasModel(s, d.Model) || r.Role == s.Role {
				continue
			}
			if deficit := f.roleDeficit(d, r); deficit > highest && f.minDeficitAfter(s, r.Role) > -f.policy.Hysteresis {
				role, highest = r.Role, deficit
			}
		}
	}
	return role
}

// minDeficitAfter returns the lowest deficit of a role among a server's models
// after the role was assigned to the server.
func (f fleet) minDeficitAfter(s Server, role string) float64 {
	lowest := math.Inf(1)
	for _, d := range f.demands {
		for _, r := range d.Roles {
			if r.Role == role && hasModel(s, d.Model) {
				lowest = min(lowest, f.roleDeficit(d, r)-1)
			}
		}
	}
	return lowest
}

// roleNeeded reports whether a server's role is requested for one of its models
// of which the role does not have too many servers.
func (f fleet) roleNeeded(s Server) bool {
	for _, d := range f.demands {
		for _, r := range d.Roles {
			if r.Role == s.Role && hasModel(s, d.Model) && f.roleDeficit(d, r) >= -f.policy.Hysteresis {
				return true
			}
		}
	}
	return false
}
