package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/core/queuer"

	"github.com/matryer/is"
)

const service = "pool"

var serviceHash = queuer.HashService(service)

// TestYields checks for how long a request leaves room to those of other entries.
func TestYields(t *testing.T) {
	less := queuer.Request{Rank: 2, Arrived: at(0), Patience: 800 * time.Millisecond}
	tests := map[string]struct {
		request queuer.Request
		waits   []queuer.Count // elsewhere, told at 0
		now     int
		want    bool
	}{
		"more urgent waits":       {request: less, waits: []queuer.Count{{Rank: 1, Number: 1}}, want: true},
		"as urgent waits":         {request: less, waits: []queuer.Count{{Rank: 2, Number: 9}}},
		"none waits any more":     {request: less},
		"for a part of its time":  {request: less, waits: []queuer.Count{{Rank: 1, Number: 1}}, now: 199, want: true},
		"not for longer":          {request: less, waits: []queuer.Count{{Rank: 1, Number: 1}}, now: 200},
		"stale news":              {request: queuer.Request{Rank: 2, Arrived: at(600), Patience: time.Second}, waits: []queuer.Count{{Rank: 1, Number: 1}}, now: 600},
		"no time to wait":         {request: queuer.Request{Rank: 2, Arrived: at(0)}, waits: []queuer.Count{{Rank: 1, Number: 1}}},
		"answer has begun":        {request: queuer.Request{Rank: 2, Arrived: at(0), Patience: time.Second, Begun: true}, waits: []queuer.Count{{Rank: 1, Number: 1}}},
		"much time, upper bound":  {request: queuer.Request{Rank: 2, Arrived: at(0), Patience: time.Minute}, waits: []queuer.Count{{Rank: 1, Number: 1}}, now: 249, want: true},
		"much time, beyond bound": {request: queuer.Request{Rank: 2, Arrived: at(0), Patience: time.Minute}, waits: []queuer.Count{{Rank: 1, Number: 1}}, now: 250},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := queuer.NewBoard()
			b.ApplyPeer("e1", map[uint32][]queuer.Count{serviceHash: test.waits}, at(0))
			is.New(t).Equal(b.Yields(test.request, serviceHash, at(test.now)), test.want)
		})
	}
}

// TestSilentEntryIsForgotten checks that the counts of an entry that has died hold nobody
// back, and that those of its next datagram replace them.
func TestSilentEntryIsForgotten(t *testing.T) {
	is := is.New(t)
	b := queuer.NewBoard()
	waits := map[uint32][]queuer.Count{serviceHash: {{Rank: 0, Number: 3}}}
	b.ApplyPeer("e1", waits, at(0))
	is.Equal(b.Elsewhere(serviceHash, 2, at(599)), 3)
	is.Equal(b.Elsewhere(serviceHash, 2, at(600)), 0)
	b.ApplyPeer("e1", waits, at(700))
	b.ApplyPeer("e1", nil, at(701))
	is.Equal(b.Elsewhere(serviceHash, 2, at(702)), 0)
}

// told is a datagram on its way.
type told struct {
	from   int
	counts []queuer.Count
	at     time.Time
}

// fleet is a number of entries that compete for places. Each learns of the others' waiting
// requests late, and loses a part of the news.
type fleet struct {
	random   *rand.Rand
	loss     float64
	boards   []*queuer.Board
	queues   []*queuer.Queue[int]
	transit  []told
	deadFrom int // entries from this one on are silent after 5 s, with requests that wait
	idle     int // milliseconds in which a place was free although a request waited
}

// step plays one millisecond.
func (f *fleet) step(ms int, free *int, waited map[int][]time.Duration) {
	for len(f.transit) > 0 && !f.transit[0].at.After(at(ms)) {
		m := f.transit[0]
		f.transit = f.transit[1:]
		for to, b := range f.boards {
			if to != m.from && f.random.Float64() >= f.loss {
				b.ApplyPeer(fmt.Sprint(m.from), map[uint32][]queuer.Count{serviceHash: m.counts}, at(ms))
			}
		}
	}
	waits := false
	for i, q := range f.queues {
		if i >= f.deadFrom && ms >= 5000 {
			continue
		}
		s := q.Sweep(at(ms))
		for w := s.Next(); w != nil; w = s.Next() {
			if *free == 0 || f.boards[i].Yields(w.Request, serviceHash, at(ms)) {
				s.Stop()
				continue
			}
			*free--
			s.Placed()
			q.Remove(w)
			waited[w.Rank] = append(waited[w.Rank], at(ms).Sub(w.Arrived))
		}
		waits = waits || q.Len() > 0
		if ms%25 == i%25 {
			f.transit = append(f.transit, told{from: i, counts: q.Counts(), at: at(ms + 10)})
		}
	}
	if waits && *free > 0 {
		f.idle++
	}
}

// play plays ten seconds with arrivals of two ranks beyond the places, and returns the mean
// wait of each.
func (f *fleet) play(entries int) (urgent, other time.Duration) {
	for range entries {
		f.boards = append(f.boards, queuer.NewBoard())
		f.queues = append(f.queues, queuer.New[int](queuer.Limits{}))
	}
	waited := map[int][]time.Duration{}
	free, ends := 12, map[int]int{}
	for ms := range 10_000 {
		free += ends[ms]
		if n := f.random.IntN(10); n < 4 { // 400 a second, for at most 300 places a second
			rank := n % 2
			i := f.random.IntN(entries)
			patience := 600 * time.Millisecond
			f.queues[i].Add(queuer.Request{Rank: rank, Kind: fmt.Sprint(rank), Arrived: at(ms), Patience: patience}, 0, at(ms))
		}
		before := free
		f.step(ms, &free, waited)
		ends[ms+40] += before - free
		for _, q := range f.queues {
			for _, w := range q.Waiters() {
				if at(ms).Sub(w.Arrived) > time.Second {
					q.Remove(w) // its caller has left
				}
			}
		}
	}
	return mean(waited[0]), mean(waited[1])
}

func mean(all []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range all {
		sum += d
	}
	return sum / time.Duration(max(1, len(all)))
}

// TestEntriesLeaveRoom checks that more urgent requests wait less than others over all
// entries, with news that is late, lost or of entries that have died, and that no place
// stays empty for longer than a request leaves room.
func TestEntriesLeaveRoom(t *testing.T) {
	tests := map[string]struct {
		entries, alive int
		loss           float64
	}{
		"4 entries":                    {entries: 4, alive: 4},
		"4 entries, half of it lost":   {entries: 4, alive: 4, loss: 0.5},
		"4 entries, one dies":          {entries: 4, alive: 3},
		"26 entries":                   {entries: 26, alive: 26},
		"26 entries, half of it lost":  {entries: 26, alive: 26, loss: 0.5},
		"26 entries, half of them die": {entries: 26, alive: 13},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fleet{random: rand.New(rand.NewPCG(3, 31)), loss: test.loss, deadFrom: test.alive}
			urgent, other := f.play(test.entries)
			t.Logf("mean wait %v and %v; a place was free for %d ms while a request waited", urgent, other, f.idle)
			is.True(urgent < other)
			is.True(f.idle < 10_000/4) // longest share of its patience that a request leaves room
		})
	}
}
