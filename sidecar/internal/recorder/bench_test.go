package recorder

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkShared is BenchmarkLoad with 100 calls per second on a sidecar that
// shares 250 transactions per second with others. An iteration takes ten seconds.
func BenchmarkShared(b *testing.B) {
	for _, sidecars := range []int{3, 15, 40, 100} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) { benchmarkLoad(b, 100, 250/float64(sidecars), 10*time.Second) })
	}
}

// BenchmarkLoad sends calls at a constant rate for two seconds per iteration. It
// reports transactions per second, row changes per transaction, transactions and
// reads per call, and the mean time that the recorder adds to a call if the table
// service takes callLatency for each request.
func BenchmarkLoad(b *testing.B) {
	for _, load := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("calls=%d", load), func(b *testing.B) { benchmarkLoad(b, load, defaultRate, 2*time.Second) })
	}
}

// benchmarkLoad runs one benchmark case with load calls per second.
func benchmarkLoad(b *testing.B, load int, perSecond float64, duration time.Duration) {
	for n := range b.N {
		r := New(Config{Table: newFakeTable(), VM: "vm"})
		r.SetRate(perSecond)
		durations := make(chan time.Duration, load*int(duration/time.Second))
		tick := time.NewTicker(time.Second / time.Duration(load))
		start := time.Now()
		count := load * int(duration/time.Second)
		for i := range count {
			<-tick.C
			go func() {
				start := time.Now()
				r.Do(context.Background(), call(fmt.Sprint(n, "-", i), "x", 5*time.Second), func(context.Context) (*Answer, error) {
					return &Answer{Status: 200, Body: make([]byte, 100)}, nil
				})
				durations <- time.Since(start)
			}()
		}
		var sum time.Duration
		for range count {
			sum += <-durations
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
