package server

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"bamboohill/core/identifier"
	"bamboohill/core/storer"
	"bamboohill/sidecar/internal/settings"
	"bamboohill/standin/transactor"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// newPlain starts a sidecar before a plain service.
func newPlain(t *testing.T, service http.Handler) (*rig, *transactor.Table) {
	t.Helper()
	table := transactor.New()
	r := &rig{t: t, backend: httptest.NewServer(service), table: httptest.NewServer(table.Faults.Wrap(table.Handler()))}
	set := settings.Settings{
		Server: "s0", VM: "vm-s0", Domain: "ikeja", Kind: settings.KindService, Service: "bookings", Backend: address(r.backend),
		Entries: []string{"127.0.0.1:1"}, Address: "127.0.0.1:25001", Platform: storer.Platform{Table: address(r.table)},
		HeartbeatMillis: 1000, Limits: settings.Limits{ColdRequests: 4, WarmRequests: 64},
	}
	var err error
	if r.server, err = New(Config{Settings: set, Log: quiet()}); err != nil {
		t.Fatal(err)
	}
	if err := r.server.keeper.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	r.web = httptest.NewServer(r.server.Handler())
	t.Cleanup(func() {
		r.web.Close()
		r.server.recorder.Close()
		r.server.keeper.Stop()
		r.backend.Close()
		r.table.Close()
	})
	return r, table
}

func booking(key string, remaining int64) *wire.Proposal {
	return &wire.Proposal{
		Request: string(identifier.New[identifier.Request]()), Attempt: string(identifier.New[identifier.Attempt]()), Account: "balloon", Key: key,
		Call: wire.Call_CALL_ONCE, RemainingMs: remaining, Method: http.MethodPost, Path: "/book",
	}
}

// TestOnceOutlivesCaller has the service answer after the caller's deadline:
// the caller is told unknown, and its resend gets the answer of the one run.
func TestOnceOutlivesCaller(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	answer := make(chan struct{})
	r, _ := newPlain(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		io.WriteString(w, "half, ")
		http.NewResponseController(w).Flush()
		<-answer
		io.WriteString(w, "whole")
	}))
	first := make(chan result)
	go func() { first <- r.send(context.Background(), booking("k", 300), "{}") }()
	got := <-first
	is.Equal(got.refused.GetOutcome(), wire.Outcome_OUTCOME_UNKNOWN)
	is.Equal(r.server.gate.Running(), 1) // the service has it still
	close(answer)
	again := r.send(t.Context(), booking("k", 5000), "{}")
	is.True(again.end != nil)
	is.Equal(again.next, int64(len("half, whole")))
	other := r.send(t.Context(), booking("k", 5000), "another body")
	is.Equal(other.refused.GetReason(), wire.Reason_REASON_MISMATCH)
	is.Equal(runs.Load(), int32(1))
}

// TestOnceServiceAway has no service listen: not run, and the key is free for
// the next try.
func TestOnceServiceAway(t *testing.T) {
	is := is.New(t)
	r, table := newPlain(t, http.NotFoundHandler())
	r.backend.Close()
	for range 2 {
		got := r.send(t.Context(), booking("k", 5000), "{}")
		is.Equal(got.refused.GetReason(), wire.Reason_REASON_ENGINE)
		is.Equal(got.refused.GetOutcome(), wire.Outcome_OUTCOME_NOT_RUN)
	}
	table.Faults.Set("down", 1)
	got := r.send(t.Context(), booking("k", 5000), "{}")
	is.Equal(got.refused.GetReason(), wire.Reason_REASON_STORE)
	is.Equal(got.refused.GetOutcome(), wire.Outcome_OUTCOME_NOT_RUN)
}

// TestOnceRedirect has the service answer with a redirect: it is the answer,
// and the sidecar follows it nowhere.
func TestOnceRedirect(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	r, _ := newPlain(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		calls.Add(1)
		http.Redirect(w, q, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	got := r.send(t.Context(), booking("k", 5000), "")
	is.True(got.end != nil)
	is.Equal(calls.Load(), int32(1))
}
