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

func answering(runs *int) Run {
	return func(context.Context) (*Answer, error) {
		*runs++
		return &Answer{Status: 200, Body: []byte("ok")}, nil
	}
}

// TestDo runs one call under one fault, and then the same call again with the
// table healthy.
func TestDo(t *testing.T) {
	const not, unknown, ran = wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_UNKNOWN, wire.Outcome_OUTCOME_UNSPECIFIED
	for name, c := range map[string]struct {
		fault  fault
		within time.Duration // the first result comes by then
		first  wire.Outcome
		runs   int // after the first call
	}{
		"healthy":                    {healthy, time.Second, ran, 1},
		"store down":                 {down, 100 * time.Millisecond, not, 0},
		"answer of insert lost":      {lose, time.Second, ran, 1},
		"insert lost":                {drop, time.Second, not, 0},
		"insert lands after refusal": {ghost, time.Second, not, 0},
		"store deaf":                 {deaf, 3 * time.Second, not, 0},
		"insert back after deadline": {slow, 2 * time.Second, not, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table, runs := newFakeTable(), 0
				r := New(Config{Table: table, VM: "vm"})
				defer r.Close()
				table.set(c.fault)
				start := time.Now()
				result := r.Do(t.Context(), call("k", "x", 2*time.Second), answering(&runs))
				is.True(time.Since(start) <= c.within)
				is.Equal(result.Refused.GetOutcome(), c.first)
				is.Equal(runs, c.runs)
				table.set(healthy)
				table.ghosts.Wait()
				r.Wait(t.Context())
				time.Sleep(time.Second)
				again := r.Do(t.Context(), call("k", "x", 2*time.Second), answering(&runs))
				is.True(again.Refused == nil) // voided or replayed
				is.Equal(runs, 1)
				other := r.Do(t.Context(), call("k", "y", 2*time.Second), answering(&runs))
				is.Equal(other.Refused.GetReason(), wire.Reason_REASON_MISMATCH)
			})
		})
	}
}

// TestGroup sends many calls at once, some of which conflict: they share a few
// transactions, and the conflicting ones spoil nothing.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, runs := newFakeTable(), 0
		old := New(Config{Table: table, VM: "old"})
		defer old.Close()
		old.Do(t.Context(), call("key7", "x", time.Second), answering(&runs))
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

// TestLarge keeps no answer above the bound, and says so to a resend.
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

// TestSweep deletes old rows, and leaves a row that was written since it was
// read.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, runs := newFakeTable(), 0
		r := New(Config{Table: table, VM: "vm", Retention: time.Hour})
		defer r.Close()
		r.Do(t.Context(), call("old", "x", time.Second), answering(&runs))
		r.Wait(t.Context())
		time.Sleep(2 * time.Hour)
		r.Do(t.Context(), call("new", "x", time.Second), answering(&runs))
		r.Wait(t.Context())
		n, more, err := r.Sweep(t.Context())
		is.NoErr(err)
		is.True(!more)
		is.Equal(n, 1)
		is.True(r.Do(t.Context(), call("new", "x", time.Second), answering(&runs)).Replayed)
		is.Equal(runs, 2)
	})
}

// TestLateVoid voids a claim with a write that the table applies only after
// the next holder of the key has run it: the write must change nothing.
func TestLateVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, runs := newFakeTable(), 0
		first, second := New(Config{Table: table, VM: "first"}), New(Config{Table: table, VM: "second"})
		defer first.Close()
		defer second.Close()
		table.set(slow)
		time.AfterFunc(time.Second, func() { table.set(ghost) })
		time.AfterFunc(4*time.Second, func() { table.set(healthy) })
		late := first.Do(t.Context(), call("k", "x", 2*time.Second), answering(&runs))
		is.Equal(late.Refused.GetOutcome(), wire.Outcome_OUTCOME_NOT_RUN)
		first.Wait(t.Context())
		losing := func(context.Context) (*Answer, error) {
			runs++
			return nil, errService
		}
		ran := second.Do(t.Context(), call("k", "x", 2*time.Second), losing)
		is.Equal(ran.Refused.GetOutcome(), wire.Outcome_OUTCOME_UNKNOWN)
		table.ghosts.Wait()
		again := second.Do(t.Context(), call("k", "x", 2*time.Second), losing)
		is.Equal(again.Refused.GetReason(), wire.Reason_REASON_DUPLICATE)
		is.Equal(runs, 1)
	})
}
