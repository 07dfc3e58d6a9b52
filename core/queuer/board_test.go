package queuer_test

import (
	"fmt"
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
			kinds := make([]drawnKind, 2) // 400 requests a second, for at most 300 places a second
			for rank := range kinds {
				kinds[rank] = drawnKind{request: queuer.Request{Rank: rank, Kind: fmt.Sprint(rank), Size: 1, Patience: 600 * time.Millisecond}, each: 5, room: 1, holds: 40}
			}
			f := newFleet(3, test.entries, 12, kinds, nil, trouble{loss: test.loss, delay: 10})
			f.at(5000, func() {
				for _, e := range f.entries[test.alive:] {
					e.until = forever
				}
			})
			f.play(10_000)
			urgent, other := f.meanWait(0), f.meanWait(1)
			t.Logf("mean wait %v and %v; a place was free for %d ms while a request waited", urgent, other, f.idle)
			is.True(urgent < other)
			is.True(f.idle < 10_000/4) // longest share of its patience that a request leaves room
		})
	}
}
