package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/keeper"
	"bamboohill/core/router"
	"bamboohill/core/storer"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/dispatcher"
	"bamboohill/wire"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// TestPermissionIsCheckedAgain refuses the first attempt as stale and revokes the
// caller's key before the second.
func TestPermissionIsCheckedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		revoked  bool
		want     wire.Outcome
		attempts int
	}{
		"revoked meanwhile": {true, wire.Outcome_OUTCOME_NOT_RUN, 1},
		"still permitted":   {false, wire.Outcome_OUTCOME_ANSWERED, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := watcher.New(watcher.Config{})
				defer w.Stop()
				k := keeper.New(keeper.Config{Table: storer.NewTable(storer.Config{Address: "127.0.0.1:1"})})
				defer k.Stop()
				w.Record(&wire.Report{
					Server: "a", Address: "a", Kind: wire.Kind_KIND_MODEL, State: wire.State_STATE_OPEN, Offers: []*wire.Offer{{Model: "base"}},
					Memory: 1 << 20, Free: 1 << 20, Limit: 8, Prefill: 1e6, Decode: 1e3, Bound: 1 << 40,
				})
				synctest.Wait()
				s := &scripted{answers: []answer{refuse(wire.Reason_REASON_STALE), rest(4)}}
				d := dispatcher.New(dispatcher.Config{
					Watcher: w, Propose: s.propose, Keeper: k, Log: &log.Logger{Level: log.ErrorLevel}, Random: func() float64 { return 0.5 },
				})
				checks := uint64(0)
				result := d.Do(t.Context(), &dispatcher.Request{
					ID: "r", Account: &wire.Account{Name: "desk"}, Plan: &wire.Plan{}, Call: wire.Call_CALL_REPEATABLE,
					Payload: []byte("prompt"), Job: router.Job{Kind: wire.Kind_KIND_MODEL, Model: "base", Prompt: 10, Answer: 4}, Deadline: time.Now().Add(10 * time.Second),
					Permitted: func() (uint64, bool) { checks++; return checks, checks == 1 || !test.revoked },
				}, &sink{})
				is.Equal(result.Outcome, test.want)
				is.Equal(len(s.attempts), test.attempts)
				for i, p := range s.attempts {
					is.Equal(p.GetSequence(), uint64(i+1)) // of the check, not the current one
				}
			})
		})
	}
}
