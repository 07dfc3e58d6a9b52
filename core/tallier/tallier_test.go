package tallier_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"bamboohill/core/tallier"

	"github.com/matryer/is"
)

const bound = 1000 // the soft bound is 750

// TestNobodyIsRefusedWhileThereIsRoom compares the decisions with those of a tallier
// without a bound, for random work that stays under the soft bound.
func TestNobodyIsRefusedWhileThereIsRoom(t *testing.T) {
	is := is.New(t)
	bounded, unbounded := tallier.New(tallier.Config{Bound: bound}), tallier.New(tallier.Config{})
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		account, n := fmt.Sprint(random.IntN(4)), random.Int64N(375)
		a, b := bounded.Open(account, tallier.Bodies), unbounded.Open(account, tallier.Bodies)
		is.Equal(a.Reserve(n), b.Reserve(n))
		is.Equal(a.Extend(n), b.Extend(n))
		a.Close()
		b.Close()
	}
	is.Equal(bounded.Counts().Refused, int64(0))
}

// TestLargestAccountGivesWayFirst checks that at the soft bound the account that holds the
// most is refused while others are served.
func TestLargestAccountGivesWayFirst(t *testing.T) {
	is := is.New(t)
	y := tallier.New(tallier.Config{Bound: bound})
	large, small := y.Open("large", tallier.Bodies), y.Open("small", tallier.Bodies)
	is.True(large.Reserve(750)) // nobody else needs the room
	is.True(!large.Reserve(1))
	is.True(small.Reserve(200))
	is.True(!y.Open("third", tallier.Bodies).Reserve(100)) // beyond the hard bound
	is.Equal(y.Counts().Refused, int64(2))
	large.Close()
	is.True(small.Reserve(500)) // there is room again
	small.Close()
	is.Equal(y.Counts().ByKind[tallier.Bodies], int64(0))
}

// TestLongestStalledGivesWay checks that the caller that has read nothing for the longest
// time loses its answer, and that answers leave a quarter of the bound to new work.
func TestLongestStalledGivesWay(t *testing.T) {
	is := is.New(t)
	y := tallier.New(tallier.Config{Bound: bound})
	var evicted []int
	var shares []*tallier.Share
	for i := range 3 {
		shares = append(shares, y.OpenEvictable("a", tallier.Unread, func() { evicted = append(evicted, i) }))
		is.True(shares[i].Extend(250))
	}
	shares[0].Release(10) // it has read
	body := y.Open("a", tallier.Bodies)
	is.True(body.Reserve(250))
	is.True(!body.Reserve(20))
	is.Equal(len(evicted), 0)
	is.True(shares[0].Extend(20))
	is.Equal(evicted, []int{1})
	shares[1].Release(250) // late: its bytes were released already
	is.Equal(y.Counts().ByKind[tallier.Unread], int64(510))
	is.True(!shares[1].Extend(1))
	is.True(!shares[2].Extend(500)) // now it is the one that gives way
	is.Equal(evicted, []int{1, 2})
	is.Equal(y.Counts().Stalled, 1)
}

// TestServerThatReadsSlowly checks at which servers a body fits, and that bodies which ask at
// the same time don't all find the same room.
func TestServerThatReadsSlowly(t *testing.T) {
	is := is.New(t)
	y := tallier.New(tallier.Config{Bound: 64 * 100})
	is.True(y.Place("s", 2, 150, tallier.FitsShare)) // a large one goes where nothing waits
	is.Equal(y.Fit("s", 2, 1), tallier.Exceeds)
	is.Equal(y.Fit("other", 2, 150), tallier.FitsShare)
	is.True(y.Place("other", 2, 20, tallier.FitsShare))
	is.True(y.Place("other", 2, 30, tallier.FitsShare))
	is.Equal(y.Fit("other", 2, 50), tallier.FitsServer) // beyond its half
	is.True(!y.Place("other", 2, 50, tallier.FitsShare))
	is.True(y.Place("other", 2, 50, tallier.FitsServer))
	is.True(!y.Place("other", 2, 1, tallier.FitsServer))
	is.True(y.Place("other", 2, 1, tallier.Exceeds))
	is.Equal(y.Counts().Waiting, int64(251))
	y.Take("s", 150)
	y.Take("other", 61)
	is.Equal(y.Fit("other", 1, 60), tallier.FitsShare)
	y.Take("other", 40)
	is.Equal(y.Counts().Waiting, int64(0))

	var asked sync.WaitGroup
	var placed atomic.Int64
	for range 100 {
		asked.Go(func() {
			if y.Place("s", 1, 30, tallier.FitsServer) {
				placed.Add(1)
			}
		})
	}
	asked.Wait()
	is.Equal(placed.Load(), int64(3))
}

func BenchmarkReserve(b *testing.B) {
	y := tallier.New(tallier.Config{Bound: 1 << 30})
	b.ReportAllocs()
	for b.Loop() {
		s := y.Open("account", tallier.Bodies)
		s.Reserve(1 << 10)
		s.Close()
	}
}
