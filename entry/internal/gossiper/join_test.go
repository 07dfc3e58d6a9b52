package gossiper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/watcher"

	"github.com/matryer/is"
)

// TestNewEntryJoins starts an entry that knows no backend server. It must not
// become ready for callers before a ready peer has reported servers or
// joinTimeout has passed.
func TestNewEntryJoins(t *testing.T) {
	tests := map[string]struct {
		cut     bool // the new entry reaches no peer
		servers int
		least   time.Duration
		most    time.Duration
	}{
		"a peer knows the servers": {servers: 17, most: joinInterval},
		"it is cut off":            {servers: 17, cut: true, least: joinTimeout, most: joinTimeout + time.Second},
		"there are no servers":     {least: joinTimeout, most: joinTimeout + time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(3, test.servers, 0)
				fresh := f.entries[2]
				fresh.watcher = watcher.New(watcher.Config{ForgetAfter: time.Hour, SilenceTimeout: time.Hour})
				f.stops = append(f.stops, fresh.watcher.Stop)
				fresh.gossip.config.Watcher = fresh.watcher
				_, end := f.running(t)
				defer end()
				synctest.Wait()
				for _, e := range f.entries[:2] {
					e.gossip.joined.Store(true)
					f.net.setCut(e.address, test.cut)
				}
				began := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				go fresh.gossip.Run(ctx)
				for !fresh.gossip.Joined() {
					time.Sleep(joinInterval / 4)
					synctest.Wait()
				}
				cancel()
				took := time.Since(began)
				t.Log(took, len(fresh.watcher.View().Servers))
				is.True(took >= test.least && took <= test.most)
				want := test.servers
				if test.cut {
					want = 0
				}
				is.Equal(len(fresh.watcher.View().Servers), want)
			})
		})
	}
}
