package splitter_test

import (
	"strings"
	"testing"

	"bamboohill/core/splitter"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestFeed(t *testing.T) {
	tests := map[string]struct {
		parts   []string
		want    string
		last    string
		events  int
		pending int
	}{
		"one":             {parts: []string{"id: 1\ndata: x\n\n"}, want: "id: 1\ndata: x\n\n", last: "1", events: 1},
		"torn":            {parts: []string{"id: 1\nda", "ta: x\n\nid: 2\n"}, want: "id: 1\ndata: x\n\n", last: "1", events: 1, pending: 6},
		"torn end":        {parts: []string{"id: 1\ndata: x\n", "\n"}, want: "id: 1\ndata: x\n\n", last: "1", events: 1},
		"carriage return": {parts: []string{"id:7\r\ndata: x\r\n\r\n"}, want: "id:7\r\ndata: x\r\n\r\n", last: "7", events: 1},
		"comment":         {parts: []string{": alive\n\n"}, want: ": alive\n\n", last: "", events: 0},
		"first line":      {parts: []string{"weight-versions: 2\nid: 3\ndata: x\n\n"}, want: "weight-versions: 2\nid: 3\ndata: x\n\n", last: "3", events: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s splitter.Splitter
			var got strings.Builder
			for _, p := range test.parts {
				complete, err := s.Feed([]byte(p))
				is.NoErr(err)
				got.Write(complete)
			}
			is.Equal(got.String(), test.want)
			is.Equal(s.LastID(), test.last)
			is.Equal(s.Events(), test.events)
			is.Equal(s.PendingBytes(), test.pending)
		})
	}
}

func TestTooLong(t *testing.T) {
	is := is.New(t)
	var s splitter.Splitter
	_, err := s.Feed(make([]byte, splitter.MaxPendingBytes+1))
	is.Equal(err, splitter.ErrTooLong)
}

// TestRandomChunks feeds a stream in chunks of random length: the output is the
// stream up to the last complete event.
func TestRandomChunks(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: x\n\nid: 3\ndata: d\n\nid: 4\nda"
	want := stream[:strings.LastIndex(stream, "\n\n")+2]
	rapid.Check(t, func(t *rapid.T) {
		var s splitter.Splitter
		var got strings.Builder
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			complete, err := s.Feed([]byte(rest[:n]))
			if err != nil {
				t.Fatal(err)
			}
			got.Write(complete)
			rest = rest[n:]
		}
		if got.String() != want || s.LastID() != "3" || s.Events() != 3 {
			t.Fatalf("got %q, last %s, %d events", got.String(), s.LastID(), s.Events())
		}
	})
}
