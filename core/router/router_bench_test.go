package router_test

import (
	"fmt"
	"testing"
	"time"

	"bamboohill/core/hinter"
	"bamboohill/core/ider"
	"bamboohill/core/router"
)

// BenchmarkPick measures one decision, with own placements in flight and
// hints, by the number of servers in view and the length of the prompt.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 140, 12_000} {
		for _, prompt := range []int64{2_000, 30_000, 300_000} {
			b.Run(fmt.Sprintf("servers=%d/prompt=%d", n, prompt), func(b *testing.B) {
				servers := fleet(n)
				h := hinter.New(hinter.Config{})
				r := router.New(router.Config{Seed: 1, Hints: h})
				j := job(prompt)
				j.Chain = chain(prompt)
				for i := range 2 * n {
					c, _ := r.Pick(job(10_000), servers, origin)
					r.Placed(c, origin)
					if i%5 == 0 {
						h.Expect(ider.Server(c.Server.GetServer()), chain(int64(i%40)*1000))
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for b.Loop() {
					c, err := r.Pick(j, servers, origin)
					if err != nil {
						b.Fatal(err)
					}
					r.Placed(c, origin)
					r.Done(c)
				}
			})
		}
	}
}

// BenchmarkHome measures rendezvous hashing of one prefix.
func BenchmarkHome(b *testing.B) {
	for _, n := range []int{20, 140, 12_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers := fleet(n)
			key := uint64(time.Now().Unix())
			for b.Loop() {
				key++
				router.Home(key, servers)
			}
		})
	}
}
