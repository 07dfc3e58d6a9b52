package router

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// demandMemory is after how many tokens of work the measured share of long
// prompts has forgotten two thirds of the past.
const demandMemory = 20_000_000

// headroom is how much more than their share of the work long prompts get in
// servers.
const headroom = 1.2

// demand measures which part of the work long prompts are.
type demand struct {
	longs float64
	all   float64
}

func (d *demand) add(c class, work int64) {
	keep := math.Exp(-float64(work) / demandMemory)
	d.longs *= keep
	d.all = d.all*keep + float64(work)
	if c == long {
		d.longs += float64(work)
	}
}

// share returns the part of the servers that long prompts may use.
func (d *demand) share() float64 {
	if d.all == 0 {
		return 1
	}
	return min(1, headroom*d.longs/d.all)
}

// exactRanks is up to how many servers a share is counted out exactly. Beyond
// it the ranks, evenly spread, stand for the count.
const exactRanks = 64

// leastShare is how many servers long prompts may use however rare they are,
// where their share is not counted out.
const leastShare = 4

// rank orders servers alike at every entry, with no word between them.
func rank(server string) uint64 { return xxhash.Sum64String(server) }

// prepare finds the servers that a long prompt may use: those with the
// smallest ranks, as many as the share says, at least one.
func (s *search) prepare() {
	s.most = math.MaxUint64
	if s.class != long || !s.r.on(Share) {
		return
	}
	if len(s.servers) > exactRanks {
		share := max(s.r.demand.share(), leastShare/float64(len(s.servers)))
		s.most = uint64(share * (math.MaxUint64 - 1<<11))
		return
	}
	able := s.ranks()
	if len(able) == 0 {
		return
	}
	n := int(math.Ceil(s.r.demand.share() * float64(len(able))))
	s.most = able[min(max(n, 1), len(able))-1]
}

// ranks returns the sorted ranks of the servers that offer what the job needs.
func (s *search) ranks() []uint64 {
	able := s.r.ranks[:0]
	for i := range s.servers {
		if Offers(s.job, s.servers[i].Report) {
			able = append(able, rank(s.servers[i].GetServer()))
		}
	}
	slices.Sort(able)
	s.r.ranks = able
	return able
}
