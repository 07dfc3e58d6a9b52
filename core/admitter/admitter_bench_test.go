package admitter_test

import (
	"testing"
	"time"

	"bamboohill/core/admitter"
)

// BenchmarkAdmit measures one decision.
func BenchmarkAdmit(b *testing.B) {
	a := admitter.New(admitter.Config{})
	q := admitter.Ask{Prompt: 30_000, First: time.Second, Whole: 2 * time.Second, Left: time.Minute}
	b.ReportAllocs()
	for b.Loop() {
		a.Admit(q)
	}
}
