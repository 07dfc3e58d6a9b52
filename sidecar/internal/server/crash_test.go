package server

import (
	"context"
	"crypto/sha256"
	"sync"
	"testing"
	"time"

	"bamboohill/core/quarantiner"
	"bamboohill/core/screener"
	"bamboohill/standin/modelserver"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// fingerprinted returns a proposal with a fingerprint, so that its request can
// become a suspect.
func fingerprinted(prompt string, answer int64) *wire.Proposal {
	p := proposal(int64(len(prompt)/modelserver.TokenBytes), answer)
	hash := sha256.Sum256([]byte(prompt))
	p.Account = "crew"
	p.Hash = hash[:]
	p.Fingerprint = quarantiner.Fingerprint(p.GetAccount(), p.GetHash())
	return p
}

// retryUntilDecided sends one request until it is answered or blocked, as an
// entry does.
func retryUntilDecided(rigs []*rig, suspects *screener.Screener, prompt string) wire.Outcome {
	name, _ := quarantiner.ServerFor(fingerprinted(prompt, 4).GetFingerprint(), []string{"m0", "m1", "m2"})
	for try := range 400 {
		p := fingerprinted(prompt, 4)
		r := rigs[try%len(rigs)]
		switch suspects.Decide(p.GetFingerprint()).Mode {
		case quarantiner.Blocked:
			return wire.Outcome_OUTCOME_NOT_RUN
		case quarantiner.Isolated:
			p.Alone = true
			r = rigs[name[1]-'0']
		case quarantiner.Allowed, quarantiner.Trial:
		}
		got := r.send(context.Background(), p, prompt)
		if got.end != nil {
			return wire.Outcome_OUTCOME_ANSWERED
		}
		for _, a := range got.refused.GetSuspects() {
			suspects.Record(a)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// TestCrashRequest repeatedly sends a request that crashes every engine through
// two entries: at most two engines may crash, and the concurrent requests must be
// answered.
func TestCrashRequest(t *testing.T) {
	is := is.New(t)
	entries := []*screener.Screener{screener.New(screener.Config{}), screener.New(screener.Config{})}
	var rigs []*rig
	for _, name := range []string{"m0", "m1", "m2"} {
		config := quick
		config.Warm = true
		rigs = append(rigs, newNamedRig(t, name, config, entries))
	}
	var others, all sync.WaitGroup
	var answered [8]wire.Outcome
	for i := range answered {
		others.Go(func() { answered[i] = retryUntilDecided(rigs, entries[i%2], text(int64(100+i))) })
	}
	bad := text(50) + modelserver.CrashMarker
	for i := range 2 {
		all.Go(func() {
			for range 5 {
				if got := retryUntilDecided(rigs, entries[i], bad); got != wire.Outcome_OUTCOME_NOT_RUN {
					t.Errorf("the crash request ended as %v", got)
				}
			}
		})
		all.Wait() // one after the other, as retries of one caller
	}
	others.Wait()
	for i, got := range answered {
		if got != wire.Outcome_OUTCOME_ANSWERED {
			t.Errorf("concurrent request %d ended as %v", i, got)
		}
	}
	crashes := 0
	for _, r := range rigs {
		crashes += r.counts().Crashes
	}
	is.True(crashes >= 1)
	is.True(crashes <= 2)
}

// TestCrashPublishesAccusations checks that a crash of an engine makes suspects of
// exactly the requests that ran in it, and that entries learn of them immediately.
func TestCrashPublishesAccusations(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Prefill = 1000
	r := newRig(t, config)
	var all sync.WaitGroup
	all.Go(func() { r.send(context.Background(), fingerprinted(text(400), 5000), text(400)) })
	r.waitFor("first request runs", func() bool { return r.counts().Jobs == 1 })
	bad := text(50) + modelserver.CrashMarker
	got := r.send(context.Background(), fingerprinted(bad, 4), bad)
	all.Wait()
	is.Equal(got.refused.GetReason(), wire.Reason_REASON_CRASH)
	r.waitFor("two accused", func() bool { return r.entry.accusedRequests() == 2 })
	is.Equal(r.server.counts.crashes.Value(), int64(1))

	p := fingerprinted(bad, 4) // from an entry that does not know the accusation
	r.waitFor("refused", func() bool {
		return r.send(context.Background(), p, bad).refused.GetReason() == wire.Reason_REASON_SUSPECT
	})
	is.Equal(r.counts().Crashes, 1)
	is.Equal(r.entry.accusedRequests(), 2) // no other request
}

// TestTruncationAccusesNobody checks that a stream that breaks while the engine
// keeps running makes no suspects.
func TestTruncationAccusesNobody(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	r.engine.Faults.Set(modelserver.Truncate, 3)
	got := r.send(context.Background(), fingerprinted(text(50), 40), text(50))
	is.Equal(got.refused.GetReason(), wire.Reason_REASON_ENGINE)
	is.Equal(len(r.server.screener.Accusations()), 0)
}

// TestIsolation checks that a waiting suspect stops other admissions until the
// engine is idle, that it then runs alone, and that it is cleared if it finishes.
func TestIsolation(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	ctx, cancel := context.WithCancel(context.Background())
	all := r.load(ctx, 2, 100)
	r.waitFor("busy", func() bool { return r.counts().Jobs > 0 })
	p := fingerprinted(text(60), 400)
	r.server.publishAccusations([]*wire.Accusation{{Fingerprint: p.GetFingerprint(), Server: "elsewhere", Boot: 1}})
	is.Equal(r.send(ctx, p, text(60)).refused.GetReason(), wire.Reason_REASON_SUSPECT) // not proposed as isolated
	p.Alone = true
	done := make(chan result, 1)
	go func() {
		for {
			p := fingerprinted(text(60), 400)
			p.Alone = true
			if got := r.send(ctx, p, text(60)); got.refused.GetReason() != wire.Reason_REASON_ALONE {
				done <- got
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	r.waitFor("runs alone", func() bool {
		return r.ask(50, 4).refused.GetReason() == wire.Reason_REASON_ALONE && r.counts().Jobs == 1
	})
	is.True((<-done).end != nil)
	cancel()
	all.Wait()
	is.Equal(r.server.screener.Decide(p.GetFingerprint()).Mode, quarantiner.Allowed)
}
