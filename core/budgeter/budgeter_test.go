package budgeter_test

import (
	"testing"
	"time"

	"bamboohill/core/budgeter"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestShared checks that four entries which retry as much as their budgets
// allow stay within the common budget.
func TestShared(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	total := 0
	for range 4 {
		b := budgeter.New(budgeter.Config{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
		for i := range 1000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			b.RecordRequest("s", now)
			if b.Retry("s", 4, now) {
				total++
			}
		}
	}
	is.True(total > 500) // most of the budget of 0.2 x 4,000 + 100
	is.True(total <= 900)
}

// TestServicesAreIndependent checks that services have separate budgets, which
// are restored after the window.
func TestServicesAreIndependent(t *testing.T) {
	is := is.New(t)
	b := budgeter.New(budgeter.Config{Ratio: 0.2, Slack: 2, Window: time.Second})
	now := time.Now()
	is.True(b.Retry("a", 1, now))
	is.True(!b.Retry("a", 1, now))
	is.True(b.Retry("b", 1, now))
	is.True(b.Retry("a", 1, now.Add(3*time.Second))) // the window has passed
}

// TestAnyWindow checks the bound over every window, for random patterns of
// requests and retries.
func TestAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 10.0, 10 * time.Second
		b := budgeter.New(budgeter.Config{Ratio: ratio, Slack: slack, Window: window})
		now := time.Now()
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordRequest("s", now)
				requests = append(requests, now)
			}
			if b.Retry("s", 1, now) {
				retries = append(retries, now)
			}
			allowed := slack + ratio*float64(within(requests, now, 2*window))
			if n := within(retries, now, window); float64(n) > allowed {
				t.Fatalf("%d retries within %v, %.1f allowed", n, window, allowed)
			}
		}
	})
}

// within returns the number of times less than a window before now.
func within(all []time.Time, now time.Time, window time.Duration) int {
	n := 0
	for _, at := range all {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

// TestRetryWithin checks that requests which may use a part of the budget leave the rest.
func TestRetryWithin(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := budgeter.New(budgeter.Config{Ratio: 0.2, Slack: 15, Window: 10 * time.Second}) // 12 retries
	count := func(retry func() bool) int {
		n := 0
		for range 100 {
			if retry() {
				n++
			}
		}
		return n
	}
	is.Equal(count(func() bool { return b.RetryWithin("s", 1, 2.0/3, now) }), 8)
	is.Equal(count(func() bool { return b.Retry("s", 1, now) }), 4)
}
