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

// TestDeadServerIsFoundBetweenHeartbeats has one server die whose heartbeats
// come a minute apart: one failed call is enough for it to be asked until it is
// known to be gone. One that lives after a failed call is asked too, and stays.
func TestDeadServerIsFoundBetweenHeartbeats(t *testing.T) {
	for name, test := range map[string]struct {
		dead bool
		gone int
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
				is.Equal(len(w.View().Unavailable), test.gone)
				cancel()
				w.Stop()
				f.stop()
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestAfford(t *testing.T) {
	for name, test := range map[string]struct {
		round  float64
		budget int
		want   time.Duration
	}{
		"no bound":       {3000, 0, 0},
		"nobody greeted": {0, 900, 0},
		"three entries":  {1125, 900, 2500 * time.Millisecond},
		"many":           {3150, 900, 7 * time.Second},
		"never further":  {1 << 20, 900, longestGap},
	} {
		t.Run(name, func(t *testing.T) {
			if got := afford(test.round, test.budget); got != test.want {
				t.Errorf("afford = %v, want %v", got, test.want)
			}
		})
	}
}
