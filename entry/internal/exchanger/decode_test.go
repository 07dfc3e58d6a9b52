package exchanger

import (
	"math/rand/v2"
	"testing"

	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// randomMessage returns a datagram with all that a decoder reads itself, and some of the rest.
func randomMessage(r *rand.Rand) *wire.Outstanding {
	o := &wire.Outstanding{Entry: "there", Incarnation: r.Uint64(), Sequence: r.Uint64(), Address: "10.1.0.40:8229", Peers: []string{"a", "b"}, Pace: r.Float32()}
	for range r.IntN(40) {
		w := &wire.ServerWork{Server: r.Uint32(), ReadingMs: r.Uint32N(3) * r.Uint32(), ContextK: r.Uint32N(300), Running: r.Uint32N(20), Parts: r.Uint32N(2)}
		w.DoneTenths, w.FailedTenths = r.Uint32N(2)*r.Uint32N(100), r.Uint32N(2)*r.Uint32N(100)
		for range r.IntN(6) {
			w.Counts = append(w.Counts, r.Uint32N(1<<12))
		}
		o.Work = append(o.Work, w)
	}
	o.Kinds = append(o.Kinds, &wire.KindLimits{PauseMs: 800, Recent: &wire.KindSums{Prompts: r.Float32()}})
	return o
}

// TestDecode checks that datagrams, whole and broken ones, are read as proto.Unmarshal reads
// them, also if a datagram with more work came before.
func TestDecode(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	d := &decoder{}
	broken := 0
	for range 20_000 {
		data, err := proto.Marshal(randomMessage(r))
		if err != nil {
			t.Fatal(err)
		}
		switch r.IntN(3) {
		case 1:
			data = data[:r.IntN(len(data))]
		case 2:
			data[r.IntN(len(data))] ^= byte(1 << r.IntN(8))
		}
		want := &wire.Outstanding{}
		wantErr := proto.Unmarshal(data, want)
		got, err := d.decode(data)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%x: error %v, want %v", data, err, wantErr)
		}
		if wantErr != nil {
			broken++
			continue
		}
		for _, w := range want.GetWork() {
			w.ProtoReflect().SetUnknown(nil)
		}
		if !proto.Equal(got, want) {
			t.Fatalf("%x: %v, want %v", data, got, want)
		}
	}
	if broken == 0 {
		t.Error("no broken datagram was tried")
	}
}
