package exchanger_test

import (
	"testing"
	"time"

	"bamboohill/core/queuer"
	"bamboohill/core/viewer"
	"bamboohill/entry/internal/exchanger"
	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// TestWaitingIsTold checks that a datagram carries what waits and whose callers were
// refused, and that the next one replaces it.
func TestWaitingIsTold(t *testing.T) {
	is := is.New(t)
	newWaiting := func() exchanger.Waiting {
		return exchanger.Waiting{Board: queuer.NewBoard(), Promises: queuer.NewPromises()}
	}
	a, b := newWaiting(), newWaiting()
	now := time.Now()
	tell := func() int {
		o := &wire.Outstanding{Entry: "a"}
		a.Encode(o, now)
		data, err := proto.Marshal(o)
		is.NoErr(err)
		heard := &wire.Outstanding{}
		is.NoErr(proto.Unmarshal(data, heard))
		b.Apply(heard, now)
		return len(data)
	}
	a.Board.SetOwn("pool", []queuer.Count{{Rank: 0, Number: 2, Oldest: now.Add(-time.Second)}, {Rank: 3, Number: 1, Oldest: now}})
	a.Promises.Make(7, now.Add(time.Second), now)
	tell()
	is.Equal(b.Board.Elsewhere(queuer.HashService("pool"), 3, now), 2)
	is.Equal(b.Board.Elsewhere(queuer.HashService("pool"), 4, now), 3)
	_, onTime := b.Promises.Return(7, now.Add(time.Second))
	is.True(onTime)
	a.Board.SetOwn("pool", nil)
	tell()
	is.Equal(b.Board.Elsewhere(queuer.HashService("pool"), 4, now), 0)
	for i := range uint32(500) {
		a.Promises.Make(i, now.Add(time.Second), now)
		counts := []queuer.Count{{Rank: int(i), Number: 1, Oldest: now}}
		a.Board.SetOwn(viewer.ServiceName(string(rune('a'+i))), counts)
	}
	is.True(tell() < 1400) // one packet
}
