package gossiper

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// sizes are the numbers of entries in the benchmarks.
var sizes = []int{6, 20, 100, 300}

// perEntry is the number of sidecars per entry at the target size.
const perEntry = 10

// spent returns the CPU time that this process has used.
func spent() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSpread measures the time from the commit of a change until it is
// active at every entry and sidecar. One entry pushes to each sidecar.
func BenchmarkSpread(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			f := newFleet(n, perEntry*n, 1)
			defer f.stop()
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			f.start(ctx)
			f.change(ctx, 0, f.entries[0]) // opens the connections
			f.await(1)
			f.net.bytes.Store(0)
			f.net.calls.Store(0)
			var took []time.Duration
			busy := spent()
			b.ResetTimer()
			for i := range b.N {
				start := time.Now()
				f.await(f.change(ctx, i+1, f.entries[i%n]))
				took = append(took, time.Since(start))
			}
			b.StopTimer()
			busy = spent() - busy
			if b.N < 2 {
				return
			}
			slices.Sort(took)
			processes := float64(n + perEntry*n)
			changes := float64(b.N)
			fmt.Printf("bench=spread entries=%d sidecars=%d changes=%d p50_ms=%.2f max_ms=%.2f calls_change=%.0f bytes_call=%.0f cpu_us_process_change=%.1f change_bytes=%d\n",
				n, perEntry*n, b.N, ms(took[len(took)/2]), ms(took[len(took)-1]), float64(f.net.calls.Load())/changes,
				float64(f.net.bytes.Load())/float64(f.net.calls.Load()), float64(busy.Microseconds())/changes/processes, proto.Size(f.entries[0].keeper.State().Since(uint64(b.N))))
		})
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// await waits until a sequence number is active everywhere.
func (f *fleet) await(sequence uint64) {
	for f.behind(sequence) > 0 {
		time.Sleep(100 * time.Microsecond)
	}
}

// BenchmarkGreeting measures one round of greetings of an entry.
func BenchmarkGreeting(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			f := newFleet(n, 0, 1)
			defer f.stop()
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			f.start(ctx)
			for _, e := range f.entries {
				e.gossip.Round(ctx)
			}
			f.net.bytes.Store(0)
			f.net.calls.Store(0)
			busy := spent()
			b.ResetTimer()
			for i := range b.N {
				f.entries[i%n].gossip.Round(ctx)
			}
			b.StopTimer()
			busy = spent() - busy
			if b.N < 2 {
				return
			}
			fmt.Printf("bench=greeting entries=%d rounds=%d calls_round=%.1f bytes_round=%.0f cpu_us_round=%.0f\n", n, b.N,
				float64(f.net.calls.Load())/float64(b.N), float64(f.net.bytes.Load())/float64(b.N), float64(busy.Microseconds())/float64(b.N))
		})
	}
}

// heartbeats receives heartbeats as an entry does.
type heartbeats struct{ e *entry }

func (s heartbeats) Beat(_ context.Context, r *wire.Report) (*wire.BeatReply, error) {
	s.e.watcher.Record(r)
	return &wire.BeatReply{Sequence: s.e.keeper.State().Sequence, Entries: s.e.gossip.EntriesFor(r.GetServer())}, nil
}

// BenchmarkHeartbeat measures one heartbeat of the sidecar of a model engine and
// its reply, which lists other entries.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{6, 20, 100, 300} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			f := newFleet(n, 0, 1)
			defer f.stop()
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			f.start(ctx)
			mux := http.NewServeMux()
			mux.Handle(wire.HeartbeatsPathPrefix, wire.NewHeartbeatsServer(heartbeats{f.entries[0]}))
			defer f.net.serve("10.9.0.1:1", mux)()
			peer := f.net.peer()
			client := wire.NewHeartbeatsProtobufClient(peer.URL("10.9.0.1:1"), peer.Client)
			report := sampleReport()
			if _, err := client.Beat(ctx, report); err != nil {
				b.Fatal(err)
			}
			f.net.bytes.Store(0)
			busy := spent()
			var reply *wire.BeatReply
			b.ResetTimer()
			for range b.N {
				report.Serial++
				var err error
				if reply, err = client.Beat(ctx, report); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			if b.N < 2 {
				return
			}
			runtime.KeepAlive(f)
			fmt.Printf("bench=heartbeat entries=%d beats=%d report_bytes=%d reply_bytes=%d wire_bytes=%.0f cpu_us=%.1f\n", n, b.N,
				proto.Size(report), proto.Size(reply), float64(f.net.bytes.Load())/float64(b.N),
				float64((spent()-busy).Microseconds())/float64(b.N))
		})
	}
}

func sampleReport() *wire.Report {
	return &wire.Report{
		Server: "engine-ikeja-0137", Vm: "vm-ikeja-0137", Domain: "ikeja", Address: "10.20.30.40:7100", Boot: 1_790_000_000_000_000,
		Serial: 1 << 20, State: wire.State_STATE_OPEN, Kind: wire.Kind_KIND_MODEL,
		Offers: []*wire.Offer{{Model: "base", Version: "2026-11", Adapters: []string{"survey", "briefing"}}},
		Memory: 2_400_000, Free: 1_100_000, Running: 14, Limit: 64, Queued: 210_000, Long: 180_000, Prefill: 41_000, Decode: 38,
		Sequence: 1 << 22, Role: "both", Bound: 400_000,
	}
}
