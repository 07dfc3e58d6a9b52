package averager_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"bamboohill/entry/internal/averager"
	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

var base, crew = averager.KindOf("base", ""), averager.KindOf("crew", "2")

func entries(n int) []*averager.Averager {
	var all []*averager.Averager
	for range n {
		all = append(all, averager.New(averager.Config{}))
	}
	return all
}

// gossip runs one gossip exchange that a starts with b. If lost is set, the
// reply does not arrive.
func gossip(a, b *averager.Averager, lost bool) {
	sent := a.Snapshot()
	reply := b.Exchange(sent)
	if !lost {
		a.ApplyReply(sent, reply)
	}
}

// rounds runs n rounds, in each of which every entry gossips with three others
// that are drawn at random. The share loss of all replies is lost.
func rounds(all []*averager.Averager, n int, random *rand.Rand, loss float64) {
	for range n {
		for i, a := range all {
			for range 3 {
				if j := random.IntN(len(all)); j != i {
					gossip(a, all[j], random.Float64() < loss)
				}
			}
		}
	}
}

func near(a, b, part float64) bool { return math.Abs(a-b) <= part*b }

// TestHalves checks that two entries that see different halves of the load hold
// the mean of all of it after one exchange.
func TestHalves(t *testing.T) {
	is := is.New(t)
	all := entries(2)
	all[0].Record(base, 300_000)
	all[1].Record(crew, 100_000)
	gossip(all[0], all[1], false)
	for _, a := range all {
		is.Equal(a.Mean(base), 150_000.0)
		is.Equal(a.Mean(crew), 50_000.0)
		is.Equal(a.Total(), 200_000.0)
	}
}

// TestRecordDuringExchange records a request between the snapshot and the reply.
func TestRecordDuringExchange(t *testing.T) {
	is := is.New(t)
	all := entries(2)
	all[0].Record(base, 100)
	sent := all[0].Snapshot()
	reply := all[1].Exchange(sent)
	all[0].Record(base, 50)
	all[0].ApplyReply(sent, reply)
	is.Equal(all[0].Mean(base), 100.0)
	is.Equal(all[1].Mean(base), 50.0)
}

// TestMany has one entry of many see all of the demand for a model. After a few
// rounds all entries hold the mean. If that entry then fails, only its own part
// is lost, and without more demand the estimates decay.
func TestMany(t *testing.T) {
	for _, n := range []int{6, 34, 340} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			all := entries(n)
			all[0].Record(crew, int64(n)*100_000)
			rounds(all, 6, rand.New(rand.NewPCG(1, 1)), 0)
			for _, a := range all {
				is.True(near(a.Mean(crew), 100_000, 0.05))
			}
			left := all[1:]
			rounds(left, 1, rand.New(rand.NewPCG(2, 1)), 0)
			for _, a := range left {
				is.True(near(a.Mean(crew), 100_000, 0.05))
				a.Decay(0.5)
				is.True(near(a.Mean(crew), 50_000, 0.05))
			}
		})
	}
}

// TestLostReplies checks that the shares of the models stay right when one reply
// in five is lost: errors are as often up as down, and they decay.
func TestLostReplies(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 1))
	all := entries(34)
	for range 200 {
		for i, a := range all {
			if i%2 == 0 {
				a.Record(base, 3000)
			} else {
				a.Record(crew, 1000)
			}
			a.Decay(0.97)
		}
		rounds(all, 1, random, 0.2)
	}
	for _, a := range all {
		is.True(near(a.Mean(base)/a.Total(), 0.75, 0.1))
	}
}

// TestInvalid checks that invalid values are ignored and that the number of
// kinds is bounded.
func TestInvalid(t *testing.T) {
	is := is.New(t)
	a := averager.New(averager.Config{MaxKinds: 4})
	a.Record(base, 100)
	is.Equal(a.Exchange(nil), nil)
	is.Equal(a.Mean(base), 100.0)
	bad := []float32{float32(math.NaN()), float32(math.Inf(1)), -5, 1e16, 7, 7}
	a.Exchange(&wire.Demand{Kinds: []uint32{1, 2, 3, 4, 5}, Tokens: bad})
	is.Equal(a.Total(), 53.5)
	for k := range 100 {
		a.Record(averager.Kind(k+10), int64(k))
	}
	is.True(len(a.Snapshot().GetKinds()) <= 4)
}

// BenchmarkSnapshot reports the bytes that 21 models add to a greeting.
func BenchmarkSnapshot(b *testing.B) {
	a := averager.New(averager.Config{})
	for i := range 21 {
		a.Record(averager.KindOf(fmt.Sprint(i), ""), 100_000)
	}
	for b.Loop() {
		a.Exchange(a.Snapshot())
	}
	b.ReportMetric(float64(proto.Size(a.Snapshot())), "bytes")
}
