package puller

import (
	"context"
	"net/http/httptest"
	"testing"

	"bamboohill/core/keeper"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// entry is a fake entry that replies with a fixed greeting.
type entry struct {
	wire.Peers
	greeting *wire.Greeting
}

func (e entry) Greet(context.Context, *wire.Greeting) (*wire.Greeting, error) { return e.greeting, nil }

func serve(t *testing.T, greeting *wire.Greeting) string {
	t.Helper()
	s := httptest.NewServer(wire.NewPeersServer(entry{greeting: greeting}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestAsk(t *testing.T) {
	plain := func(known int32, names ...string) *wire.Greeting {
		g := &wire.Greeting{Ready: true, Sequence: 4, Known: known}
		for _, n := range names {
			g.Members = append(g.Members, &wire.Member{Address: n})
		}
		return g
	}
	second := serve(t, plain(2))
	third := serve(t, plain(2))
	for name, test := range map[string]struct {
		addresses []string
		self      string
		known     int
		replies   int
		enough    bool
	}{
		"nobody":                        {nil, "me", 0, 0, false},
		"the only other entry":          {[]string{serve(t, plain(1))}, "me", 1, 1, true},
		"one entry that names two more": {[]string{serve(t, plain(3, second, third))}, "me", 3, 3, true},
		"one entry that counts two more but names none": {[]string{serve(t, plain(3))}, "me", 3, 1, false},
		"sidecar, one of two entries known":             {[]string{serve(t, plain(1))}, "", 2, 1, false},
		"sidecar, the only entry":                       {[]string{serve(t, plain(0))}, "", 1, 1, true},
		"this process is not asked":                     {[]string{second}, second, 0, 0, false},
		"one entry does not reply":                      {[]string{second, third, "127.0.0.1:1"}, "me", 3, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(Config{Addresses: func() []string { return test.addresses }, Self: test.self})
			known, replies := p.Ask(t.Context())
			is.Equal(known, test.known)
			is.Equal(len(replies), test.replies)
			is.Equal(keeper.CanStart(keeper.Evidence{KnownPeers: known, ReadyPeers: len(replies), HighestReply: 4}), test.enough)
		})
	}
}
