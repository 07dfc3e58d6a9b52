package recorder

import "sync/atomic"

// Stats counts the requests of a recorder to the table service.
type Stats struct {
	Groups atomic.Int64 // transactions sent
	Ops    atomic.Int64 // row changes in these transactions, including repeated ones
	Reads  atomic.Int64 // rows and pages read
}

func (s *Stats) countGroup(ops int) {
	s.Groups.Add(1)
	s.Ops.Add(int64(ops))
}

func (s *Stats) countRead() { s.Reads.Add(1) }
