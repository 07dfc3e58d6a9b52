package keeper

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"

	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// accounts returns a state with n client accounts of two keys each and 50
// plans.
func accounts(n int) *State {
	snapshot := &wire.Snapshot{Sequence: 1}
	for i := range 50 {
		name := fmt.Sprint("plan-", i)
		plan := &wire.Plan{Name: name, Rate: 10, Concurrency: 20, Weight: 2, TimeoutMs: 60_000, Services: []string{"bookings"}}
		for m := range 5 {
			plan.Offers = append(plan.Offers, &wire.Offer{Model: fmt.Sprint("model-", (i+m)%21), Adapters: []string{"*"}})
		}
		snapshot.Rows = append(snapshot.Rows, &wire.Row{Key: "plan/" + name, Version: 1, Record: &wire.Record{Value: &wire.Record_Plan{Plan: plan}}})
	}
	for i := range n {
		name := fmt.Sprintf("account-%05d", i)
		first, second := sha256.Sum256([]byte(name)), sha256.Sum256([]byte(name+"+"))
		account := &wire.Account{Name: name, Plan: fmt.Sprint("plan-", i%50), Keys: [][]byte{first[:], second[:]}}
		snapshot.Rows = append(snapshot.Rows, &wire.Row{Key: "account/" + name, Version: 1, Record: &wire.Record{Value: &wire.Record_Account{Account: account}}})
	}
	return FromSnapshot(snapshot)
}

// BenchmarkState measures the cost of a configuration with many accounts: the
// snapshot size in bytes, the heap, and the time to apply one change.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{1000, 10_000, 30_000} {
		b.Run(fmt.Sprint("accounts=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := accounts(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			size := proto.Size(s.Snapshot())
			start := time.Now()
			b.ResetTimer()
			for range b.N {
				next, err := s.Apply([]*wire.Change{{Sequence: s.Sequence + 1, Key: "domain/ikeja", Version: 1, Record: domainOut("ikeja", true)}})
				if err != nil {
					b.Fatal(err)
				}
				s = next
			}
			b.StopTimer()
			if b.N < 2 {
				return
			}
			fmt.Printf("bench=state accounts=%d snapshot_bytes=%d heap_bytes=%d apply_us=%.0f\n",
				n, size, after.HeapAlloc-before.HeapAlloc, float64(time.Since(start).Microseconds())/float64(b.N))
		})
	}
}
