package admitter_test

import (
	"testing"
	"time"

	"bamboohill/core/admitter"
)

// BenchmarkAdmit measures one admission decision.
func BenchmarkAdmit(b *testing.B) {
	a := admitter.New(admitter.Config{})
	q := admitter.Request{Prompt: 30_000, FirstToken: time.Second, LastToken: 2 * time.Second, Remaining: time.Minute}
	b.ReportAllocs()
	for b.Loop() {
		a.Admit(q)
	}
}
