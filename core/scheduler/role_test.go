package scheduler

import (
	"fmt"
	"testing"

	"bamboohill/core/generator"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// roles plans until nothing changes, at most so many rounds, and returns the
// servers with each role.
func roles(servers []Server, needs []ModelDemand, most int) (map[string]int, int) {
	for n := range most {
		c := Plan(servers, needs, Policy{})
		if c == nil {
			count := map[string]int{}
			for _, s := range servers {
				count[s.Role]++
			}
			return count, n
		}
		for i := range servers {
			if servers[i].ID == c.Server {
				servers[i].Models, servers[i].Role = c.Models, c.Role
			}
		}
	}
	return nil, most
}

// TestRoles gives roles as plans wish, and takes them back.
func TestRoles(t *testing.T) {
	wish := func(shares ...RoleShare) []ModelDemand { return []ModelDemand{{Model: model("base"), Roles: shares}} }
	for name, c := range map[string]struct {
		needs []ModelDemand
		after []ModelDemand // then
		want  map[string]int
	}{
		"none":            {wish(), nil, map[string]int{"": 8}},
		"a quarter":       {wish(RoleShare{"long", 0.25}), nil, map[string]int{"long": 2, "": 6}},
		"two roles":       {wish(RoleShare{"long", 0.25}, RoleShare{"brief", 0.5}), nil, map[string]int{"long": 2, "brief": 4, "": 2}},
		"less than half":  {wish(RoleShare{"long", 0.06}), nil, map[string]int{"": 8}},
		"given back":      {wish(RoleShare{"long", 0.5}), wish(), map[string]int{RoleAny: 4, "": 4}},
		"fewer":           {wish(RoleShare{"long", 0.5}), wish(RoleShare{"long", 0.25}), map[string]int{"long": 2, RoleAny: 2, "": 4}},
		"another instead": {wish(RoleShare{"long", 0.5}), wish(RoleShare{"brief", 1}), map[string]int{"brief": 8}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var servers []Server
			for i := range 8 {
				servers = append(servers, Server{ID: fmt.Sprintf("e%d", i), Models: []generator.Model{model("base")}})
			}
			got, _ := roles(servers, c.needs, 30)
			if c.after != nil {
				got, _ = roles(servers, c.after, 30)
			}
			is.Equal(got, c.want)
		})
	}
}

// TestRolesSettle demands that any wishes over any fleet settle: two models on
// one server may ask for different roles.
func TestRolesSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		var servers []Server
		for i := range rapid.IntRange(1, 14).Draw(t, "servers") {
			s := Server{ID: fmt.Sprintf("e%02d", i), Role: rapid.SampledFrom([]string{"", RoleAny, "long", "brief", "other"}).Draw(t, "role")}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 2, rapid.ID[string]).Draw(t, "models") {
				s.Models = append(s.Models, model(name))
			}
			servers = append(servers, s)
		}
		var needs []ModelDemand
		for _, name := range names {
			long := rapid.Float64Range(0, 1).Draw(t, "long")
			brief := rapid.Float64Range(0, 1-long).Draw(t, "brief")
			needs = append(needs, ModelDemand{Model: model(name), Share: 1.0 / 3, Roles: []RoleShare{{"long", long}, {"brief", brief}}})
		}
		if _, n := roles(servers, needs, 100); n == 100 {
			t.Fatalf("not settled after %d changes", n)
		}
	})
}
