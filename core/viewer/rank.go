package viewer

import "slices"

// Rank returns the rank of a request of a route and an account: the priority of the
// account if it has one, else that of the route. 0 is the most urgent. The account may
// be nil.
func (c *Configuration) Rank(r *Route, a *Account) int {
	if a != nil && a.Priority != nil {
		return max(0, *a.Priority)
	}
	return max(0, r.Priority)
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

// computeRanks sets the range of ranks of each service.
func (c *Configuration) computeRanks() {
	c.ranks = map[ServiceName]rankRange{}
	common := make([]int, 0, len(c.accounts)) // ranks of accounts, which apply to all routes
	inherit := c.accounts == nil              // some requests have the rank of their route
	for _, a := range c.accounts {
		if a.Priority == nil {
			inherit = true
			continue
		}
		common = append(common, max(0, *a.Priority))
	}
	if len(common) > 0 {
		common = []int{slices.Min(common), slices.Max(common)}
	}
	for _, prefixes := range c.routes {
		for _, route := range prefixes {
			ranks := common
			if inherit || route.Public {
				ranks = append(ranks[:len(ranks):len(ranks)], max(0, route.Priority))
			}
			for _, t := range route.Targets {
				c.includeRanks(t.Service, ranks)
			}
		}
	}
}

func (c *Configuration) includeRanks(service ServiceName, ranks []int) {
	for _, rank := range ranks {
		known, found := c.ranks[service]
		if !found {
			known = rankRange{least: rank, most: rank}
		}
		c.ranks[service] = rankRange{least: min(known.least, rank), most: max(known.most, rank)}
	}
}
