package bookkeeper_test

import (
	"testing"
	"time"

	"bamboohill/core/bookkeeper"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestPauseOf(t *testing.T) {
	tests := map[string]struct {
		gap  time.Duration
		want bookkeeper.Pause
	}{
		"chat":    {gap: 200 * time.Millisecond, want: bookkeeper.Tight},
		"long":    {gap: 500 * time.Millisecond, want: bookkeeper.Middle},
		"archive": {gap: 800 * time.Millisecond, want: bookkeeper.Wide},
		"none":    {gap: 0, want: bookkeeper.Wide},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(bookkeeper.PauseOf(test.gap), test.want) })
	}
}

// TestLife follows one prompt that three engines read.
func TestLife(t *testing.T) {
	is := is.New(t)
	b := bookkeeper.New()
	b.Place("a", bookkeeper.Work{
		Server: "1", Helpers: []viewer.ServerID{"2", "3"}, Held: []int{100, 200}, Reading: 400 * time.Millisecond, Context: 50, Pause: bookkeeper.Wide,
	}, start)
	first, helper := b.Load("1", start), b.Load("3", start)
	is.Equal(first, bookkeeper.Load{Reading: 400 * time.Millisecond, Context: 50, Running: 1, Waiting: [3]int{0, 0, 1}})
	is.Equal(helper, bookkeeper.Load{Reading: 400 * time.Millisecond, Context: 200, Parts: 1, Waiting: [3]int{0, 0, 1}})

	is.Equal(b.Load("2", after(100*time.Millisecond)).Reading, 300*time.Millisecond) // read meanwhile

	b.First("a", after(200*time.Millisecond))
	is.Equal(b.Load("1", after(200*time.Millisecond)), bookkeeper.Load{Context: 50, Running: 1, Writers: [3]int{0, 0, 1}})
	is.Equal(b.Load("3", after(200*time.Millisecond)), bookkeeper.Load{Context: 200}) // holds its memory until the end

	b.End("a", after(time.Second))
	b.End("a", after(time.Second)) // again
	for _, id := range []viewer.ServerID{"1", "2", "3"} {
		is.Equal(b.Load(id, after(time.Second)), bookkeeper.Load{})
	}
	is.Equal(len(b.Own(after(time.Second))), 0)
}

// TestPeers adds what other entries say, until they fall silent.
func TestPeers(t *testing.T) {
	is := is.New(t)
	b := bookkeeper.New()
	b.Hear("other", map[uint32]bookkeeper.Load{bookkeeper.Hash("1"): {Running: 2, Context: 7}}, 3, start)
	is.Equal(b.Load("1", start).Running, 2)
	is.Equal(b.Load("2", start).Running, 0)
	_, all := b.Pace(start)
	is.Equal(all, 3.0)
	b.Hear("other", map[uint32]bookkeeper.Load{}, 0, after(time.Second)) // whole each time
	is.Equal(b.Load("1", after(time.Second)).Running, 0)
	b.Hear("other", map[uint32]bookkeeper.Load{bookkeeper.Hash("1"): {Running: 2}}, 3, after(time.Second))
	is.Equal(b.Load("1", after(10*time.Second)).Running, 0) // killed, perhaps
}

func TestPace(t *testing.T) {
	is := is.New(t)
	b := bookkeeper.New()
	for i := range 100 { // ten engines' reading, for ten seconds
		b.Place(string(rune('a'+i)), bookkeeper.Work{Server: "1", Reading: time.Second}, after(time.Duration(i)*100*time.Millisecond))
	}
	own, all := b.Pace(after(10 * time.Second))
	is.True(own > 8 && own < 12)
	is.Equal(own, all)
	own, _ = b.Pace(after(time.Minute))
	is.True(own < 0.1)
}

// TestBooksBalance enters and strikes off at random: nothing is left over, and
// nothing is ever negative.
func TestBooksBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bookkeeper.New()
		now := start
		open := map[string]bool{}
		servers := []viewer.ServerID{"1", "2", "3", "4"}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := string(rune('a' + rapid.IntRange(0, 9).Draw(t, "attempt")))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if !open[name] {
					n := rapid.IntRange(1, 4).Draw(t, "engines")
					b.Place(name, bookkeeper.Work{
						Server: servers[0], Helpers: servers[1:n], Reading: time.Duration(step) * time.Millisecond, Context: step,
						Pause: bookkeeper.Pause(step % 3),
					}, now)
					open[name] = true
				}
			case 1:
				b.First(name, now)
			case 2:
				b.End(name, now)
				delete(open, name)
			}
			for _, id := range servers {
				l := b.Load(id, now)
				if l.Reading < 0 || l.Running < 0 || l.Parts < 0 || l.Context < 0 || min(l.Waiting[0], l.Waiting[1], l.Waiting[2]) < 0 || l.Writing() > l.Running {
					t.Fatalf("load of %s: %+v", id, l)
				}
			}
		}
		for name := range open {
			b.End(name, now)
		}
		if left := b.Own(now); len(left) != 0 {
			t.Fatalf("left over: %+v", left)
		}
	})
}
