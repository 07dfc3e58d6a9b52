package differ

import (
	"testing"

	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// draw returns a random report in which many fields are empty.
func draw(t *rapid.T, label string) *wire.Report {
	r := &wire.Report{
		Server: "s", Boot: 1, Serial: rapid.Uint64().Draw(t, label+" serial"), State: wire.State(rapid.IntRange(0, 4).Draw(t, label+" state")),
		Free: rapid.Int64Range(0, 3).Draw(t, label+" free"), Running: int32(rapid.IntRange(0, 2).Draw(t, label+" running")),
		Prefill: rapid.SampledFrom([]float64{0, 1.5}).Draw(t, label+" prefill"), Cold: rapid.Bool().Draw(t, label+" cold"),
		Cached: rapid.SliceOfN(rapid.Uint64(), 0, 2).Draw(t, label+" cached"), Noted: rapid.Uint64Range(0, 2).Draw(t, label+" noted"),
	}
	for range rapid.IntRange(0, 2).Draw(t, label+" offers") {
		r.Offers = append(r.Offers, &wire.Offer{Model: rapid.SampledFrom([]string{"a", "b"}).Draw(t, label+" model")})
	}
	return r
}

// TestApplyRestoresReport checks that a difference, encoded and decoded, restores
// the report when it is applied to the base.
func TestApplyRestoresReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, next := draw(t, "first"), draw(t, "next")
		base := Base(first)
		data, err := proto.Marshal(Diff(base, next))
		if err != nil {
			t.Fatal(err)
		}
		beat := &wire.Beat{}
		if err := proto.Unmarshal(data, beat); err != nil {
			t.Fatal(err)
		}
		if got := Apply(base, beat); !proto.Equal(got, next) {
			t.Fatalf("got %v, want %v", got, next)
		}
	})
}

// TestBaseHasNoEvents checks that cache events are left out of a base, and that
// the report itself keeps them.
func TestBaseHasNoEvents(t *testing.T) {
	is := is.New(t)
	first := &wire.Report{Server: "s", Cached: []uint64{1}, Dropped: []uint64{2}, Gap: true, Noted: 3}
	got := Apply(Base(first), Diff(Base(first), &wire.Report{Server: "s", Serial: 2}))
	is.True(proto.Equal(got, &wire.Report{Server: "s", Serial: 2}))
	is.Equal(len(first.GetCached()), 1)
}

// TestUnknownFieldIsIgnored checks that a cleared field which this program does
// not know changes nothing.
func TestUnknownFieldIsIgnored(t *testing.T) {
	is := is.New(t)
	base := &wire.Report{Server: "s"}
	is.True(proto.Equal(Apply(base, &wire.Beat{Cleared: []uint32{9999}}), base))
}
