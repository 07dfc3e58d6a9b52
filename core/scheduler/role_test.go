package scheduler

import (
	"fmt"
	"testing"

	"bamboohill/core/generator"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// roles calls Plan until it returns no change, but at most limit times. It
// returns the number of servers with each role, nil at the limit, and the number
// of changes.
func roles(servers []Server, demands []ModelDemand, limit int) (map[string]int, int) {
	for n := range limit {
		c := Plan(servers, demands, Policy{})
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
	return nil, limit
}

// TestRoles checks that roles are assigned as requested, and removed.
func TestRoles(t *testing.T) {
	request := func(shares ...RoleShare) []ModelDemand { return []ModelDemand{{Model: model("base"), Roles: shares}} }
	for name, c := range map[string]struct {
		demands []ModelDemand
		after   []ModelDemand // if not nil, planned after demands
		want    map[string]int
	}{
		"none":                   {request(), nil, map[string]int{"": 8}},
		"a quarter":              {request(RoleShare{"long", 0.25}), nil, map[string]int{"long": 2, "": 6}},
		"two roles":              {request(RoleShare{"long", 0.25}, RoleShare{"brief", 0.5}), nil, map[string]int{"long": 2, "brief": 4, "": 2}},
		"less than half":         {request(RoleShare{"long", 0.06}), nil, map[string]int{"": 8}},
		"not requested any more": {request(RoleShare{"long", 0.5}), request(), map[string]int{RoleAny: 4, "": 4}},
		"fewer":                  {request(RoleShare{"long", 0.5}), request(RoleShare{"long", 0.25}), map[string]int{"long": 2, RoleAny: 2, "": 4}},
		"another instead":        {request(RoleShare{"long", 0.5}), request(RoleShare{"brief", 1}), map[string]int{"brief": 8}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var servers []Server
			for i := range 8 {
				servers = append(servers, Server{ID: fmt.Sprintf("e%d", i), Models: []generator.Model{model("base")}})
			}
			got, _ := roles(servers, c.demands, 30)
			if c.after != nil {
				got, _ = roles(servers, c.after, 30)
			}
			is.Equal(got, c.want)
		})
	}
}

// TestRolesSettle checks that the plan settles for any fleet and any requested
// shares, also if two models on one server request different roles.
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
		var demands []ModelDemand
		for _, name := range names {
			long := rapid.Float64Range(0, 1).Draw(t, "long")
			brief := rapid.Float64Range(0, 1-long).Draw(t, "brief")
			demands = append(demands, ModelDemand{Model: model(name), Share: 1.0 / 3, Roles: []RoleShare{{"long", long}, {"brief", brief}}})
		}
		if _, n := roles(servers, demands, 100); n == 100 {
			t.Fatalf("plan not settled after %d changes", n)
		}
	})
}
