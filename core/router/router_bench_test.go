package router_test

import (
	"fmt"
	"testing"

	"bamboohill/core/hinter"
	"bamboohill/core/identifier"
	"bamboohill/core/router"
)

// BenchmarkPick measures one decision, with placements in progress and
// hints, by the number of servers and the length of the prompt.
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
					c, _ := r.Pick(job([]int64{2_000, 30_000, 2_000, 300_000}[i%4]), servers, origin)
					r.RecordPlacement(c, origin)
					if i%5 == 0 {
						h.RecordPlacement(identifier.Server(c.Server.GetServer()), chain(int64(i%40)*1000))
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for b.Loop() {
					if _, err := r.Pick(j, servers, origin); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkRecordPlacement measures recording a choice, its first token and its end.
func BenchmarkRecordPlacement(b *testing.B) {
	servers := fleet(140)
	r := router.New(router.Config{Seed: 1, Hints: hinter.New(hinter.Config{})})
	j := job(30_000)
	j.Chain = chain(30_000)
	c, _ := r.Pick(j, servers, origin)
	b.ReportAllocs()
	for b.Loop() {
		r.RecordPlacement(c, origin)
		r.RecordFirstToken(c)
		r.RecordEnd(c)
	}
}
