package limiter_test

import (
	"testing"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/limiter"
	"bamboohill/wire"
)

// BenchmarkTake measures the admission and the release of one request, with
// 1,000 accounts under overload.
func BenchmarkTake(b *testing.B) {
	l := limiter.New(limiter.Config{})
	plan := &wire.Plan{Rate: 1e9, Concurrency: 1000, Weight: 1}
	var names []identifier.Account
	for i := range 1000 {
		name := identifier.Account(string(rune('a'+i%26)) + string(rune('a'+i/26)))
		names = append(names, name)
		l.Take(name, plan, 1, origin)
		l.Grant(name, limiter.Share{Rate: 1e9, Concurrency: 1000, Expires: origin.Add(time.Hour)}, origin)
	}
	l.SetBacklog(time.Minute)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now := origin.Add(time.Duration(i) * time.Microsecond)
		release, err := l.Take(names[i%len(names)], plan, 1000, now)
		if err == nil {
			release(true, now)
		}
	}
}
