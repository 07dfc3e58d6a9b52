package quarantiner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// serversPerIsolation is the number of backend servers for each server that runs
// isolated requests.
const serversPerIsolation = 16

// ServerFor returns the backend server on which a suspect runs in isolation,
// among the servers that could run it. Hashing spreads the suspects of the fleet
// over one such server for each sixteen backend servers; a suspect gets the same
// one at every entry that passes the same servers. ServerFor reports false if
// servers is empty.
func ServerFor(fingerprint string, servers []string) (string, bool) {
	if len(servers) == 0 {
		return "", false
	}
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	isolating := uint64(1 + (len(ranked)-1)/serversPerIsolation)
	return ranked[xxhash.Sum64String(fingerprint)%isolating], true
}
