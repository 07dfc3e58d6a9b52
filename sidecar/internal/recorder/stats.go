package recorder

import "sync/atomic"

// Stats counts what the recorder asked of the table service.
type Stats struct {
	Groups atomic.Int64 // transactions sent
	Ops    atomic.Int64 // row changes in them, repeated ones included
	Reads  atomic.Int64 // rows and pages read
}

func (s *Stats) group(ops int) {
	s.Groups.Add(1)
	s.Ops.Add(int64(ops))
}

func (s *Stats) read() { s.Reads.Add(1) }
