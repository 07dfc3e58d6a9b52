package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/keeper"
	"bamboohill/wire"
)

// run makes every entry poll and gossip as in production, and every sidecar send
// heartbeats to its entries.
func (f *fleet) run(ctx context.Context) {
	f.start(ctx)
	for _, e := range f.entries {
		go e.gossip.Run(ctx)
		go e.keeper.Poll(ctx, time.Second, nil)
	}
	for _, s := range f.sidecars {
		go f.beat(ctx, s)
	}
}

// beat sends the heartbeats of a sidecar, which catches up if a reply has a
// higher sequence number.
func (f *fleet) beat(ctx context.Context, s *sidecar) {
	for ctx.Err() == nil {
		for _, e := range f.entries {
			if f.net.reaches(e.address) && f.net.reaches(s.address) {
				report, _ := s.Inspect(ctx, nil)
				e.watcher.Record(report)
				sequence := e.keeper.State().Sequence
				if s.keeper.Observe(sequence) {
					s.keeper.CatchUp(ctx, sequence, e.address)
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (n *network) reaches(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[address]
}

// step makes one random action: a change, a network partition, an outage of the
// table, or the end of one of these faults.
func (f *fleet) step(ctx context.Context, random *rand.Rand, n int) (committed bool) {
	e := f.entries[random.IntN(len(f.entries))]
	switch random.IntN(6) {
	case 0:
		f.net.setCut(e.address, true)
	case 1:
		f.net.setCut(e.address, false)
	case 2:
		f.table.setDown(true)
	case 3:
		f.table.setDown(false)
	default:
		place := &wire.Placement{Name: "ikeja", Out: n%2 == 0}
		_, err := e.keeper.Commit(ctx, keeper.Proposal{
			ID: fmt.Sprint("c", n), Key: "domain/ikeja", Force: true, Record: &wire.Record{Value: &wire.Record_Domain{Domain: place}},
		})
		if err != nil {
			return false
		}
		go e.gossip.PushEntries(ctx)
		return true
	}
	return false
}

// TestFleetConverges makes changes while entries are partitioned off and the
// table fails at random. No process may ever return to an older sequence number,
// and within 3 s of the end of all faults every process must have the last
// change.
func TestFleetConverges(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(5, 8, 0)
				ctx, cancel := context.WithCancel(t.Context())
				f.run(ctx)
				random := rand.New(rand.NewPCG(seed, 9))
				accepted := uint64(0)
				for n := range 60 {
					if f.step(ctx, random, n) {
						accepted++
					}
					time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
				}
				f.table.setDown(false)
				for _, e := range f.entries {
					f.net.setCut(e.address, false)
				}
				time.Sleep(3 * time.Second)
				if n := f.behind(accepted); n > 0 {
					t.Errorf("%d of %d processes are behind change %d", n, len(f.entries)+len(f.sidecars), accepted)
				}
				f.mu.Lock()
				for _, text := range f.decreases {
					t.Errorf("sequence number decreased: %s", text)
				}
				f.mu.Unlock()
				cancel()
				time.Sleep(5 * time.Second)
				f.stop()
				time.Sleep(time.Minute)
			})
		})
	}
}
