package exchanger_test

import (
	"testing"

	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// TestSize checks that the datagram of an entry with work at forty servers, of five kinds
// with their samples, fits into one packet, which docs/CAPACITY.md assumes.
func TestSize(t *testing.T) {
	o := &wire.Outstanding{Entry: "front-ikeja-1", Incarnation: 1_780_000_000_000_000, Sequence: 100_000, Address: "10.1.0.40:8229", Configuration: 5_000, Pace: 1}
	for range 5 {
		sums := &wire.KindSums{Prompts: 1, Tokens: 1, Slots: 1, Held: 1}
		o.Kinds = append(o.Kinds, &wire.KindLimits{PauseMs: 800, TargetMs: 4000, TimeoutMs: 15_000, Rank: 2, Service: 1 << 30, Recent: sums, Usual: sums})
	}
	bare := proto.Size(o)
	for i := range uint32(40) {
		o.Work = append(o.Work, &wire.ServerWork{Server: 1 << 30, ReadingMs: 200 * (i % 2), Counts: []uint32{3*32*(i%2) + 1, 37, 4 + 32*(i%2)}, ContextK: 220, Running: 4, Parts: i % 3})
	}
	size := proto.Size(o)
	t.Logf("%d bytes, %d for each server", size, (size-bare)/40)
	const packet = 1400 // bytes that fit into an Ethernet frame
	if size > packet {
		t.Errorf("%d bytes", size)
	}
}
