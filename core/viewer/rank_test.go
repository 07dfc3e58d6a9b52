package viewer_test

import (
	"testing"

	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

// TestRanks checks the rank of a request and whether its service has different ranks.
func TestRanks(t *testing.T) {
	priority := func(n int) *int { return &n }
	tests := map[string]struct {
		routes   [2]int // priorities of two routes of the service
		accounts []*int // priorities of the accounts
		public   bool   // the second route needs no key
		rank     int    // of a request of the first route and account
		lowest   int
		differ   bool
	}{
		"no accounts":                 {routes: [2]int{1, 3}, rank: 0, lowest: 1, differ: true},
		"one rank":                    {routes: [2]int{2, 2}, rank: 0, lowest: 0},
		"accounts without priority":   {routes: [2]int{1, 1}, accounts: []*int{nil, nil}, rank: 0, lowest: 0},
		"account before route":        {routes: [2]int{1, 1}, accounts: []*int{priority(4), nil}, rank: 1, lowest: 1, differ: true},
		"most urgent account":         {routes: [2]int{1, 1}, accounts: []*int{priority(0), nil}, rank: 0, lowest: 1, differ: true},
		"urgent account, other route": {routes: [2]int{3, 1}, accounts: []*int{priority(0), priority(1)}, rank: 1, lowest: 3, differ: true},
		"accounts alike":              {routes: [2]int{1, 3}, accounts: []*int{priority(2), priority(2)}, rank: 0, lowest: 1, differ: true},
		"all alike":                   {routes: [2]int{1, 1}, accounts: []*int{priority(2), priority(2)}, rank: 0, lowest: 0},
		"accounts alike, public":      {routes: [2]int{1, 3}, accounts: []*int{priority(2)}, public: true, rank: 0, lowest: 1, differ: true},
		"negative counts as 0":        {routes: [2]int{-1, 0}, rank: 0, lowest: 0},
		"many accounts":               {routes: [2]int{0, 0}, accounts: []*int{priority(2), priority(1), priority(3)}, rank: 1, lowest: 2, differ: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := []viewer.Target{{Service: "s", Weight: 1}}
			routes := []*viewer.Route{
				{Host: "h", Prefix: "/a/", Priority: test.routes[0], Targets: target},
				{Host: "h", Prefix: "/b/", Priority: test.routes[1], Targets: target, Public: test.public},
			}
			var accounts map[string]*viewer.Account
			for i, p := range test.accounts {
				if accounts == nil {
					accounts = map[string]*viewer.Account{}
				}
				accounts[string(rune('a'+i))] = &viewer.Account{Priority: p}
			}
			c := viewer.NewConfiguration(routes, accounts)
			is.Equal(c.Rank(routes[0], accounts["a"]), test.rank)
			lowest, differ := c.Ranks("s")
			is.Equal(lowest, test.lowest)
			is.Equal(differ, test.differ)
		})
	}
}
