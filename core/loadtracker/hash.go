package loadtracker

import (
	"bamboohill/core/viewer"

	"github.com/cespare/xxhash/v2"
)

// Hash returns a 32-bit hash of the id of a backend server, to keep datagrams
// small. Two ids collide once in some billion pairs; their loads are then added
// up.
func Hash(id viewer.ServerID) uint32 { return uint32(xxhash.Sum64String(string(id))) }
