package recorder

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRateBoundsTransactions sends 100 calls per second for ten seconds at
// several rate limits. Every call must be answered and run once, and the
// transactions must stay within the rate limit.
func TestRateBoundsTransactions(t *testing.T) {
	for name, test := range map[string]struct {
		rate    float64
		maxRate float64 // transactions per second
	}{
		"as configured":    {1000, defaultRate},
		"a share of forty": {7.5, 7.5},
		"a tiny share":     {0.1, minRate},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := New(Config{Table: newFakeTable(), VM: "vm"})
				r.SetRate(test.rate)
				start := time.Now()
				var mu sync.Mutex
				var all sync.WaitGroup
				answered, runs := 0, 0
				for i := range 1000 {
					time.Sleep(10 * time.Millisecond)
					all.Go(func() {
						got := r.Do(context.Background(), call(fmt.Sprint(i), "x", 20*time.Second), func(context.Context) (*Answer, error) {
							mu.Lock()
							defer mu.Unlock()
							runs++
							return &Answer{Status: 200}, nil
						})
						mu.Lock()
						defer mu.Unlock()
						if got.Answer != nil {
							answered++
						}
					})
				}
				all.Wait()
				r.Wait(context.Background())
				seconds := time.Since(start).Seconds()
				r.Close()
				is.Equal(answered, 1000)
				is.Equal(runs, 1000)
				limit := test.maxRate*seconds + max(1, test.maxRate*burstSeconds) + 1
				t.Log("transactions", r.Stats().Groups.Load(), "seconds", seconds)
				is.True(float64(r.Stats().Groups.Load()) <= limit)
			})
		})
	}
}
