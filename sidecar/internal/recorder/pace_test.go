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

// TestPaceBoundsTransactions offers 100 calls a second for ten seconds at
// several paces: all are answered, each runs once, and the transactions stay
// within the pace.
func TestPaceBoundsTransactions(t *testing.T) {
	for name, test := range map[string]struct {
		pace float64
		most float64 // transactions a second
	}{
		"as configured":    {1000, defaultPace},
		"a share of forty": {7.5, 7.5},
		"a tiny share":     {0.1, leastPace},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := New(Config{Table: newFakeTable(), VM: "vm"})
				r.SetRate(test.pace)
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
				most := test.most*seconds + max(1, test.most*burstSpan) + 1
				t.Log("transactions", r.Stats().Groups.Load(), "seconds", seconds)
				is.True(float64(r.Stats().Groups.Load()) <= most)
			})
		})
	}
}
