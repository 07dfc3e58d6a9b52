package hinter_test

import (
	"testing"

	"bamboohill/core/hinter"
	"bamboohill/core/ider"
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

func TestRead(t *testing.T) {
	is := is.New(t)
	is.Equal(len(hinter.Read(make([]byte, block-1))), 0)
	long := hinter.Read(prompt(2000, 0))
	is.Equal(len(long), 21) // 1, 2, 3, 4, 6 ... 1536
	is.Equal(long[20].Tokens, int64(1536*hinter.BlockTokens))
	a, b := hinter.Read(prompt(8, 1)), hinter.Read(prompt(8, 2))
	is.Equal(a[:len(a)-1], b[:len(b)-1]) // they differ in the eighth block alone
	is.True(a[len(a)-1] != b[len(b)-1])
}

func TestHear(t *testing.T) {
	chain := hinter.Read(prompt(8, 0))
	all := hashes(chain)
	heard := func(serial uint64, r *wire.Report) *wire.Report {
		r.Server, r.Serial = "a", serial
		r.Boot = max(1, r.Boot)
		return r
	}
	tests := map[string]struct {
		reports []*wire.Report
		want    int64
	}{
		"nothing":         {},
		"whole":           {reports: []*wire.Report{heard(1, &wire.Report{Cached: all})}, want: 8 * hinter.BlockTokens},
		"start":           {reports: []*wire.Report{heard(1, &wire.Report{Cached: all[:2]})}, want: 2 * hinter.BlockTokens},
		"dropped":         {reports: []*wire.Report{heard(1, &wire.Report{Cached: all}), heard(2, &wire.Report{Dropped: all[3:]})}, want: 3 * hinter.BlockTokens},
		"gap":             {reports: []*wire.Report{heard(1, &wire.Report{Cached: all}), heard(2, &wire.Report{Gap: true})}},
		"gap and more":    {reports: []*wire.Report{heard(1, &wire.Report{Cached: all}), heard(2, &wire.Report{Gap: true, Cached: all[:1]})}, want: hinter.BlockTokens},
		"new boot":        {reports: []*wire.Report{heard(1, &wire.Report{Cached: all}), heard(1, &wire.Report{Boot: 2})}},
		"late old report": {reports: []*wire.Report{heard(2, &wire.Report{Gap: true}), heard(1, &wire.Report{Cached: all})}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := hinter.New(hinter.Config{})
			for _, r := range test.reports {
				h.Hear(r)
			}
			is.Equal(h.Cached("a", chain), test.want)
			is.Equal(h.Cached("b", chain), int64(0))
			is.Equal(len(h.Holders(nil, chain, 4)) > 0, test.want > 0)
		})
	}
}

func TestMarksAreBounded(t *testing.T) {
	is := is.New(t)
	h := hinter.New(hinter.Config{Marks: 64})
	for i := range 100 {
		h.Expect(ider.Server("a"), hinter.Chain{{Hash: uint64(i), Tokens: 1}})
	}
	is.Equal(h.Cached("a", hinter.Chain{{Hash: 99, Tokens: 1}}), int64(1))
	is.Equal(h.Cached("a", hinter.Chain{{Hash: 0, Tokens: 1}}), int64(0))
}
