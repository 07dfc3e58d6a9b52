package viewer

import (
	"cmp"
	"maps"
	"slices"
)

// urgency is what the rank of a request depends on, in this order: the priority of its
// account, or of its route if the account has none, and the priority of its route.
type urgency struct{ account, route int }

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.account, other.account), cmp.Compare(u.route, other.route))
}

func urgencyOf(r *Route, priority *int) urgency {
	u := urgency{account: max(0, r.Priority), route: max(0, r.Priority)}
	if priority != nil {
		u.account = max(0, *priority)
	}
	return u
}

// Rank returns the rank of a request of a route and an account among all requests that the
// configuration allows; 0 is the most urgent. The priority of the account comes before that
// of the route, which orders the requests of accounts with equal ones. The account may be
// nil.
func (c *Configuration) Rank(r *Route, a *Account) int {
	c.ranksOnce.Do(c.computeRanks)
	var priority *int
	if a != nil {
		priority = a.Priority
	}
	i, _ := slices.BinarySearchFunc(c.urgencies, urgencyOf(r, priority), urgency.compare)
	return i
}

// Ranks returns the least urgent rank of the requests of a service, and whether the
// service has requests of different ranks.
func (c *Configuration) Ranks(service ServiceName) (lowest int, differ bool) {
	c.ranksOnce.Do(c.computeRanks)
	r := c.ranks[service]
	return r.most, r.most > r.least
}

// rankRange is the range of the ranks of a service's requests.
type rankRange struct{ least, most int }

// computeRanks sets the urgencies of all requests, in their order, and the range of ranks
// of each service.
func (c *Configuration) computeRanks() {
	priorities := map[int]*int{} // of accounts
	inherit := c.accounts == nil // some requests have no account with a priority
	for _, a := range c.accounts {
		if a.Priority == nil {
			inherit = true
			continue
		}
		priorities[max(0, *a.Priority)] = a.Priority
	}
	services := map[ServiceName]map[urgency]bool{}
	all := map[urgency]bool{}
	for r := range c.Routes() {
		mine := map[urgency]bool{}
		if inherit || r.Public {
			mine[urgencyOf(r, nil)] = true
		}
		if !r.Public {
			for _, p := range priorities {
				mine[urgencyOf(r, p)] = true
			}
		}
		maps.Copy(all, mine)
		for _, t := range r.Targets {
			if services[t.Service] == nil {
				services[t.Service] = map[urgency]bool{}
			}
			maps.Copy(services[t.Service], mine)
		}
	}
	c.urgencies = slices.SortedFunc(maps.Keys(all), urgency.compare)
	c.ranks = make(map[ServiceName]rankRange, len(services))
	for service, urgencies := range services {
		ranks := rankRange{least: len(c.urgencies)}
		for u := range urgencies {
			i, _ := slices.BinarySearchFunc(c.urgencies, u, urgency.compare)
			ranks = rankRange{least: min(ranks.least, i), most: max(ranks.most, i)}
		}
		c.ranks[service] = ranks
	}
}
