package loadtracker

import (
	"bamboohill/core/viewer"

	"github.com/cespare/xxhash/v2"
)

// Hash shortens the id of a backend server for datagrams. Two ids of one
// deployment share a hash once in some billion pairs; their loads are then
// added up.
func Hash(id viewer.ServerID) uint32 { return uint32(xxhash.Sum64String(string(id))) }
