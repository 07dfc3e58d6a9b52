package enroller_test

import (
	"testing"
	"time"

	"bamboohill/core/enroller"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

var start = time.Unix(1_000, 0)

// holdTime exceeds three intervals of 1.2 s, after which a registration expires.
const holdTime = 4800 * time.Millisecond

func after(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func list(ids ...viewer.ServerID) map[viewer.ServerID]*viewer.Server {
	all := map[viewer.ServerID]*viewer.Server{}
	for _, id := range ids {
		all[id] = &viewer.Server{ID: id}
	}
	return all
}

// TestNoOutage checks that a server is removed at once without an outage.
func TestNoOutage(t *testing.T) {
	is := is.New(t)
	e := enroller.New(holdTime)
	e.Reset(list("a", "b"), start)
	is.True(e.Remove("a", after(1)))
	is.Equal(e.Servers(), list("b"))
	is.True(e.Remove("unknown", after(1)))
}

// TestOutage checks that servers that expired during an outage of the store are
// kept until they have had time to register again.
func TestOutage(t *testing.T) {
	is := is.New(t)
	e := enroller.New(holdTime)
	e.Reset(list("a", "b", "c"), start)
	e.RecordOutage(after(5))
	is.Equal(len(e.Reset(list("c"), after(5.2))), 0) // the store is back, with a list of one
	is.Equal(e.Servers(), list("a", "b", "c"))
	e.Put(&viewer.Server{ID: "a"}, start) // a has registered again
	is.Equal(len(e.Expire(after(7))), 0)
	is.Equal(e.Expire(after(7.4)), []viewer.ServerID{"b"})
	is.Equal(e.Servers(), list("a", "c"))
	is.True(e.Remove("c", after(9))) // the outage is over
}

// TestLongOutage checks that no server is removed while none can register.
func TestLongOutage(t *testing.T) {
	is := is.New(t)
	e := enroller.New(holdTime)
	e.Reset(list("a"), start)
	e.RecordOutage(after(5))
	e.Remove("a", after(5.1))
	for s := 6.0; s < 20; s++ {
		e.RecordOutage(after(s))
		is.Equal(len(e.Expire(after(s+0.9))), 0)
	}
	is.Equal(e.Expire(after(22)), []viewer.ServerID{"a"})
}

// TestDraining checks that a draining server is removed at once.
func TestDraining(t *testing.T) {
	is := is.New(t)
	e := enroller.New(holdTime)
	e.Put(&viewer.Server{ID: "a", Draining: true}, start)
	e.RecordOutage(after(1))
	is.True(e.Remove("a", after(1.1)))
	is.Equal(len(e.Servers()), 0)
}

// TestLeavesAfterOutage guards against a server that is kept as expired although it
// has registered again since the outage, and then left.
func TestLeavesAfterOutage(t *testing.T) {
	is := is.New(t)
	e := enroller.New(holdTime)
	e.Reset(list("a", "b"), start)
	e.RecordOutage(after(5))
	is.True(!e.Remove("a", after(5.1)))
	e.Put(&viewer.Server{ID: "a"}, start) // it has registered again
	is.True(e.Remove("a", after(5.1)))
	is.Equal(e.Servers(), list("b"))
	e.RecordOutage(after(6)) // another outage
	is.True(!e.Remove("b", after(6.1)))
}

// TestIsLast checks which servers are the last of their service.
func TestIsLast(t *testing.T) {
	is := is.New(t)
	e := enroller.New(holdTime)
	for _, s := range []*viewer.Server{{ID: "a", Service: "pool"}, {ID: "b", Service: "pool"}, {ID: "c", Service: "plain"}, {ID: "d", Service: "plain", Draining: true}} {
		e.Put(s, start)
	}
	is.True(!e.IsLast("a"))
	is.True(e.IsLast("c"))
	is.True(!e.IsLast("d"))
	is.True(!e.IsLast("unknown"))
	e.RecordOutage(after(1))
	is.True(!e.Remove("b", after(1.1))) // missing
	is.True(e.IsLast("a"))
}

// TestDiscard guards against a server that gets requests although its row names none: one
// that is removed soon after an outage stays, as its registration may only have expired.
func TestDiscard(t *testing.T) {
	is := is.New(t)
	e := enroller.New(holdTime)
	e.Reset(list("a", "b"), start)
	e.RecordOutage(after(5))
	e.Remove("b", after(5.1))
	e.Discard("a")
	e.Discard("b")
	e.Discard("c")
	is.Equal(len(e.Servers()), 0)
	is.Equal(e.PendingExpiry(), 0)
	e.Put(&viewer.Server{ID: "a"}, start)
	is.Equal(len(e.Expire(after(20))), 0)
	is.Equal(e.Servers(), list("a"))
}
