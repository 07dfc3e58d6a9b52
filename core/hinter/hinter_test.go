package hinter_test

import (
	"testing"

	"bamboohill/core/generator"
	"bamboohill/core/hinter"
	"bamboohill/core/identifier"
	"bamboohill/wire"

	"github.com/matryer/is"
)

const block = hinter.BlockTokens * hinter.TokenBytes

func prompt(blocks int, last byte) []byte {
	p := make([]byte, blocks*block)
	for i := range p {
		p[i] = byte(i / block)
	}
	p[len(p)-1] = last
	return p
}

func hashes(chain hinter.Chain) []uint64 {
	var list []uint64
	for _, m := range chain {
		list = append(list, m.Hash)
	}
	return list
}

func TestHashPrompt(t *testing.T) {
	is := is.New(t)
	is.Equal(len(hinter.HashPrompt(make([]byte, block-1))), 0)
	long := hinter.HashPrompt(prompt(2000, 0))
	is.Equal(len(long), 21) // 1, 2, 3, 4, 6 ... 1536
	is.Equal(long[20].Tokens, int64(1536*hinter.BlockTokens))
	a, b := hinter.HashPrompt(prompt(8, 1)), hinter.HashPrompt(prompt(8, 2))
	is.Equal(a[:len(a)-1], b[:len(b)-1]) // the prompts differ only in the eighth block
	is.True(a[len(a)-1] != b[len(b)-1])
}

func TestApplyReport(t *testing.T) {
	chain := hinter.HashPrompt(prompt(8, 0))
	all := hashes(chain)
	const tokens = hinter.BlockTokens
	n := uint64(len(all))
	add := &wire.Report{Boot: 1, Noted: n, Cached: all}
	tests := map[string]struct {
		reports []*wire.Report
		want    int64
	}{
		"nothing":      {},
		"whole":        {reports: []*wire.Report{add}, want: 8 * tokens},
		"start":        {reports: []*wire.Report{{Boot: 1, Noted: 2, Cached: all[:2]}}, want: 2 * tokens},
		"dropped":      {reports: []*wire.Report{add, {Boot: 1, Noted: 2*n - 3, Dropped: all[3:]}}, want: 3 * tokens},
		"no events":    {reports: []*wire.Report{add, {Boot: 1}}, want: 8 * tokens},
		"known events": {reports: []*wire.Report{add, {Boot: 1, Noted: 2*n - 3, Dropped: all[3:]}, add}, want: 3 * tokens},
		"gap":          {reports: []*wire.Report{add, {Boot: 1, Noted: n, Gap: true}}},
		"gap and more": {reports: []*wire.Report{add, {Boot: 1, Noted: n + 1, Gap: true, Cached: all[:1]}}, want: tokens},
		"lost report":  {reports: []*wire.Report{add, {Boot: 1, Noted: n + 9, Cached: all[:1]}}, want: tokens},
		"new boot":     {reports: []*wire.Report{add, {Boot: 2, Noted: 1, Cached: []uint64{7}}}},
		"old boot":     {reports: []*wire.Report{{Boot: 2, Noted: 1, Cached: []uint64{7}}, add}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := hinter.New(hinter.Config{})
			for _, r := range test.reports {
				r.Server = "a"
				h.ApplyReport(r)
			}
			is.Equal(h.Cached("a", chain), test.want)
			is.Equal(h.Cached("b", chain), int64(0))
			is.Equal(len(h.Holders(nil, chain, 4)) > 0, test.want > 0)
		})
	}
}

func TestHashesAreLimited(t *testing.T) {
	is := is.New(t)
	h := hinter.New(hinter.Config{MaxHashes: 64})
	for i := range 100 {
		h.RecordPlacement(identifier.Server("a"), hinter.Chain{{Hash: uint64(i), Tokens: 1}})
	}
	is.Equal(h.Cached("a", hinter.Chain{{Hash: 99, Tokens: 1}}), int64(1))
	is.Equal(h.Cached("a", hinter.Chain{{Hash: 0, Tokens: 1}}), int64(0))
}

// TestCollectorToHinter checks the hints that a Hinter derives from the reports of a
// Collector.
func TestCollectorToHinter(t *testing.T) {
	chain := hinter.HashPrompt(prompt(4, 0)) // prefix hashes at 1, 2, 3 and 4 blocks
	event := func(serial uint64, i int, removed bool) generator.Event {
		return generator.Event{Serial: serial, Hash: chain[i].Hash, Removed: removed}
	}
	const tokens = hinter.BlockTokens
	tests := map[string]struct {
		rounds [][]generator.Event // a report follows each
		boots  []uint64            // of the engine, 1 if not set
		lost   int                 // number of the report that is lost, counted from 1
		want   int64
	}{
		"added":            {rounds: [][]generator.Event{{event(1, 0, false), event(2, 1, false)}}, want: 2 * tokens},
		"other blocks":     {rounds: [][]generator.Event{{event(1, 0, false), {Serial: 2, Hash: 99}}}, want: tokens},
		"removed":          {rounds: [][]generator.Event{{event(1, 0, false), event(2, 1, false)}, {event(3, 1, true)}}, want: tokens},
		"seen twice":       {rounds: [][]generator.Event{{event(1, 0, false)}, {event(1, 0, false), event(2, 0, true)}, {event(1, 0, false)}}},
		"event lost":       {rounds: [][]generator.Event{{event(1, 0, false), event(2, 1, false)}, {event(4, 0, false)}}, want: tokens},
		"report lost":      {rounds: [][]generator.Event{{event(1, 0, false)}, {event(2, 0, true)}, {event(3, 1, false)}}, lost: 2, want: 2 * tokens},
		"gap lost":         {rounds: [][]generator.Event{{event(1, 0, false), event(2, 1, false)}, {event(4, 0, false)}, {event(5, 1, false)}}, lost: 2, want: 2 * tokens},
		"gap lost, rest":   {rounds: [][]generator.Event{{event(1, 0, false), event(2, 1, false)}, {event(4, 0, false)}, {event(5, 0, true)}}, lost: 2},
		"engine restarted": {rounds: [][]generator.Event{{event(1, 0, false), event(2, 1, false)}, {}}, boots: []uint64{1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := hinter.NewCollector()
			c.AddPrompt(chain)
			h := hinter.New(hinter.Config{})
			for i, events := range test.rounds {
				boot := uint64(1)
				if len(test.boots) > 0 {
					boot = test.boots[i]
				}
				c.AddEvents(boot, events)
				r := &wire.Report{Server: "a", Boot: 1}
				c.FillReport(r)
				if i+1 != test.lost {
					h.ApplyReport(r)
				}
			}
			is.Equal(h.Cached("a", chain), test.want)
		})
	}
}
