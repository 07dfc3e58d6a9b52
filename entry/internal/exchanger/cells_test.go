package exchanger

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCells checks that an entry has few of 300 others in its cell, but counts
// all of them; with 31 entries all are in one cell.
func TestCells(t *testing.T) {
	tests := map[string]struct {
		entries, engines, cells, least, most int
	}{
		"31 entries":      {entries: 31, engines: 69, cells: 1, least: 30, most: 30},
		"300 entries":     {entries: 300, engines: 3_000, cells: 8, least: 20, most: 60},
		"103 entries":     {entries: 103, engines: 112, cells: 2, least: 35, most: 70},
		"too few engines": {entries: 300, engines: 60, cells: 1, least: 299, most: 299},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &Exchanger{
				config: Config{Calls: netip.MustParseAddrPort("10.0.0.1:1"), Engines: func() int { return test.engines }},
				peers:  map[string]*peer{}, directoryRead: true,
			}
			for n := 1; n < test.entries; n++ {
				e.peers[fmt.Sprintf("10.1.%d.%d:1", n/250, n%250)] = &peer{lastReceived: time.Now()}
			}
			is.Equal(e.Entries(), test.entries)
			is.Equal(e.divide(time.Now()), test.cells)
			is.Equal(e.Cells(), test.cells)
			near := 0
			for address := range e.peers {
				if e.InCell(address, test.cells) {
					near++
				}
			}
			is.True(near >= test.least && near <= test.most)
		})
	}
}
