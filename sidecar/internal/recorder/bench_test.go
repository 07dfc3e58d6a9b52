package recorder

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkShared is BenchmarkLoad at 100 calls a second for a sidecar that
// shares 250 transactions a second with others, for ten seconds an iteration.
func BenchmarkShared(b *testing.B) {
	for _, sidecars := range []int{3, 15, 40, 100} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) { offer(b, 100, 250/float64(sidecars), 10*time.Second) })
	}
}

// BenchmarkLoad offers calls at a steady rate for two seconds an iteration and
// reports transactions a second, row changes in one transaction, reads a call
// and the mean time that the record adds to a call, before a table service
// that takes callLag for each call.
func BenchmarkLoad(b *testing.B) {
	for _, load := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("calls=%d", load), func(b *testing.B) { offer(b, load, defaultPace, 2*time.Second) })
	}
}

// offer is one case of the benchmarks.
func offer(b *testing.B, load int, pace float64, span time.Duration) {
	for n := range b.N {
		r := New(Config{Table: newFakeTable(), VM: "vm"})
		r.SetRate(pace)
		took := make(chan time.Duration, load*int(span/time.Second))
		tick := time.NewTicker(time.Second / time.Duration(load))
		start := time.Now()
		count := load * int(span/time.Second)
		for i := range count {
			<-tick.C
			go func() {
				from := time.Now()
				r.Do(context.Background(), call(fmt.Sprint(n, "-", i), "x", 5*time.Second), func(context.Context) (*Answer, error) {
					return &Answer{Status: 200, Body: make([]byte, 100)}, nil
				})
				took <- time.Since(from)
			}()
		}
		var sum time.Duration
		for range count {
			sum += <-took
		}
		seconds := time.Since(start).Seconds()
		tick.Stop()
		r.Wait(context.Background())
		r.Close()
		b.ReportMetric(float64(r.Stats().Groups.Load())/seconds, "txn/s")
		b.ReportMetric(float64(r.Stats().Ops.Load())/float64(r.Stats().Groups.Load()), "rows/txn")
		b.ReportMetric(float64(r.Stats().Groups.Load())/float64(count), "txn/call")
		b.ReportMetric(float64(r.Stats().Reads.Load())/float64(count), "reads/call")
		b.ReportMetric(float64(sum.Milliseconds())/float64(count), "ms/call")
	}
}
