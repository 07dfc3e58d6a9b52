package gossiper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/watcher"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// TestDeadServerIsFoundBetweenHeartbeats reports a failed call to a server with a
// heartbeat interval of a minute. The server is then inspected repeatedly: it
// must become unavailable within seconds if it is dead, and stay available if it
// is alive.
func TestDeadServerIsFoundBetweenHeartbeats(t *testing.T) {
	for name, test := range map[string]struct {
		dead        bool
		unavailable int
	}{
		"dead":   {true, 1},
		"living": {false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 3, 1)
				w := watcher.New(watcher.Config{})
				ctx, cancel := context.WithCancel(t.Context())
				g := f.entries[0].gossip
				g.config.Watcher = w
				for i, s := range f.sidecars {
					s.serial = 1
					w.Record(&wire.Report{Server: fmt.Sprint("s", i), Address: s.address, Domain: "ikeja", Boot: 1, Serial: 1, EveryMs: time.Minute.Milliseconds()})
				}
				if test.dead {
					f.net.setCut(f.sidecars[0].address, true)
				}
				go g.Run(ctx)
				w.RecordFailure("s0")
				time.Sleep(6 * time.Second)
				synctest.Wait()
				is.Equal(len(w.View().Unavailable), test.unavailable)
				cancel()
				w.Stop()
				f.stop()
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestBudgetInterval(t *testing.T) {
	for name, test := range map[string]struct {
		round  float64
		budget int
		want   time.Duration
	}{
		"no budget":     {3000, 0, 0},
		"no traffic":    {0, 900, 0},
		"three entries": {1125, 900, 2500 * time.Millisecond},
		"many":          {3150, 900, 7 * time.Second},
		"longest":       {1 << 20, 900, maxInterval},
	} {
		t.Run(name, func(t *testing.T) {
			if got := budgetInterval(test.round, test.budget); got != test.want {
				t.Errorf("budgetInterval = %v, want %v", got, test.want)
			}
		})
	}
}
