package recorder

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/wire"

	"github.com/matryer/is"
)

func call(key, body string, timeout time.Duration) Call {
	return Call{Account: "balloon", Key: key, Attempt: key, Hash: []byte(body), Deadline: time.Now().Add(timeout)}
}

// countingRun returns a Run that counts its calls in runs.
func countingRun(runs *int) Run {
	return func(context.Context) (*Answer, error) {
		*runs++
		return &Answer{Status: 200, Body: []byte("ok")}, nil
	}
}

// TestDo runs one call during a fault of the table, and then the same call again
// with a healthy table.
func TestDo(t *testing.T) {
	const notRun, unknown, ran = wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_UNKNOWN, wire.Outcome_OUTCOME_UNSPECIFIED
	for name, c := range map[string]struct {
		fault fault
		limit time.Duration // the first result comes by then
		first wire.Outcome
		runs  int // after the first call
	}{
		"healthy":                        {healthy, time.Second, ran, 1},
		"table unavailable":              {unavailable, 100 * time.Millisecond, notRun, 0},
		"answer of insert lost":          {loseAnswer, time.Second, ran, 1},
		"insert lost":                    {loseCommit, time.Second, notRun, 0},
		"insert applied after refusal":   {applyLate, time.Second, notRun, 0},
		"table silent":                   {silent, 3 * time.Second, notRun, 0},
		"insert answered after deadline": {slow, 2 * time.Second, notRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table, runs := newFakeTable(), 0
				r := New(Config{Table: table, VM: "vm"})
				defer r.Close()
				table.set(c.fault)
				start := time.Now()
				result := r.Do(t.Context(), call("k", "x", 2*time.Second), countingRun(&runs))
				is.True(time.Since(start) <= c.limit)
				is.Equal(result.Refused.GetOutcome(), c.first)
				is.Equal(runs, c.runs)
				table.set(healthy)
				table.lateCommits.Wait()
				r.Wait(t.Context())
				time.Sleep(time.Second)
				again := r.Do(t.Context(), call("k", "x", 2*time.Second), countingRun(&runs))
				is.True(again.Refused == nil) // voided or replayed
				is.Equal(runs, 1)
				other := r.Do(t.Context(), call("k", "y", 2*time.Second), countingRun(&runs))
				is.Equal(other.Refused.GetReason(), wire.Reason_REASON_MISMATCH)
			})
		})
	}
}

// TestGroup sends many calls at once, one of which conflicts with a row. They
// must share a few transactions, and the conflict must not affect the others.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, runs := newFakeTable(), 0
		old := New(Config{Table: table, VM: "old"})
		defer old.Close()
		old.Do(t.Context(), call("key7", "x", time.Second), countingRun(&runs))
		old.Wait(t.Context())
		r := New(Config{Table: table, VM: "new"})
		defer r.Close()
		results := make(chan Result)
		for i := range 100 {
			go func() {
				results <- r.Do(t.Context(), call(fmt.Sprint("key", i), "x", time.Second), func(context.Context) (*Answer, error) {
					return &Answer{Status: 200}, nil
				})
			}()
		}
		replayed := 0
		for range 100 {
			result := <-results
			is.True(result.Refused == nil)
			if result.Replayed {
				replayed++
			}
		}
		is.Equal(replayed, 1)
		is.True(r.Stats().Groups.Load() <= 12)
	})
}

// TestLarge checks that an answer above the size limit is not stored, and that a
// resend gets a refusal that says that the call ran.
func TestLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Config{Table: newFakeTable(), VM: "vm", MaxAnswerBytes: 10})
		defer r.Close()
		run := func(context.Context) (*Answer, error) { return &Answer{Status: 200, Body: make([]byte, 11)}, nil }
		is.Equal(len(r.Do(t.Context(), call("k", "x", time.Second), run).Answer.Body), 11)
		r.Wait(t.Context())
		again := r.Do(t.Context(), call("k", "x", time.Second), run)
		is.Equal(again.Refused.GetReason(), wire.Reason_REASON_DUPLICATE)
		is.Equal(again.Refused.GetOutcome(), wire.Outcome_OUTCOME_FAILED)
	})
}

// TestSweep checks that a sweep deletes an expired row and keeps a recent one.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, runs := newFakeTable(), 0
		r := New(Config{Table: table, VM: "vm", Retention: time.Hour})
		defer r.Close()
		r.Do(t.Context(), call("old", "x", time.Second), countingRun(&runs))
		r.Wait(t.Context())
		time.Sleep(2 * time.Hour)
		r.Do(t.Context(), call("new", "x", time.Second), countingRun(&runs))
		r.Wait(t.Context())
		n, more, err := r.Sweep(t.Context())
		is.NoErr(err)
		is.True(!more)
		is.Equal(n, 1)
		is.True(r.Do(t.Context(), call("new", "x", time.Second), countingRun(&runs)).Replayed)
		is.Equal(runs, 2)
	})
}

// TestLateVoid voids a claim with a write that the table applies only after
// another sidecar has claimed the same key and run the call. The late write must
// have no effect.
func TestLateVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, runs := newFakeTable(), 0
		first, second := New(Config{Table: table, VM: "first"}), New(Config{Table: table, VM: "second"})
		defer first.Close()
		defer second.Close()
		table.set(slow)
		time.AfterFunc(time.Second, func() { table.set(applyLate) })
		time.AfterFunc(4*time.Second, func() { table.set(healthy) })
		late := first.Do(t.Context(), call("k", "x", 2*time.Second), countingRun(&runs))
		is.Equal(late.Refused.GetOutcome(), wire.Outcome_OUTCOME_NOT_RUN)
		first.Wait(t.Context())
		losingAnswer := func(context.Context) (*Answer, error) {
			runs++
			return nil, errService
		}
		ran := second.Do(t.Context(), call("k", "x", 2*time.Second), losingAnswer)
		is.Equal(ran.Refused.GetOutcome(), wire.Outcome_OUTCOME_UNKNOWN)
		table.lateCommits.Wait()
		again := second.Do(t.Context(), call("k", "x", 2*time.Second), losingAnswer)
		is.Equal(again.Refused.GetReason(), wire.Reason_REASON_DUPLICATE)
		is.Equal(runs, 1)
	})
}
