// Package registrar serves the claims of the requests whose home this entry is.
// Sidecars call it before they run a copy of a request, and report the result
// afterwards. core/claimer decides which claims are granted.
//
// # Usage
//
//	r := registrar.New(registrar.Config{})
//	mux.Handle(wire.ClaimsPathPrefix, r.Handler())
package registrar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bamboohill/core/claimer"
	"bamboohill/core/identifier"
	"bamboohill/wire"

	"github.com/twitchtv/twirp"
)

// maxLease is the longest lease of a claim; longer ones are shortened to it.
const maxLease = time.Hour

// Config configures a Registrar. Now is the clock, time.Now if nil.
type Config struct {
	Claimer claimer.Config
	Now     func() time.Time
}

// Registrar holds the claims of one entry. It is safe for concurrent use.
type Registrar struct {
	now func() time.Time

	mu     sync.Mutex
	claims *claimer.Claimer
}

// New returns a registrar without claims.
func New(config Config) *Registrar {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Registrar{now: config.Now, claims: claimer.New(config.Claimer)}
}

// Handler returns the HTTP handler for the calls of sidecars.
func (r *Registrar) Handler() http.Handler { return wire.NewClaimsServer(r) }

// Claim implements wire.Claims. It returns an InvalidArgument error if the
// fingerprint, server, attempt or lease is missing.
func (r *Registrar) Claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if q.GetFingerprint() == "" || q.GetServer() == "" || q.GetAttempt() == "" || q.GetLeaseMs() <= 0 {
		return nil, twirp.NewError(twirp.InvalidArgument, "a claim needs fingerprint, server, attempt and lease_ms")
	}
	lease := time.Duration(min(q.GetLeaseMs(), maxLease.Milliseconds())) * time.Millisecond
	r.mu.Lock()
	defer r.mu.Unlock()
	servers, held := r.claims.Claim(claimer.Claim{
		Fingerprint: q.GetFingerprint(), Server: identifier.Server(q.GetServer()), Attempt: identifier.Attempt(q.GetAttempt()), Lease: lease,
	}, r.now())
	reply := &wire.ClaimReply{Held: held}
	for _, s := range servers {
		reply.Servers = append(reply.Servers, string(s))
	}
	return reply, nil
}

// Settle implements wire.Claims.
func (r *Registrar) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	result := claimer.Ended
	switch q.GetSettlement() {
	case wire.Settlement_SETTLEMENT_FINISHED:
		result = claimer.Finished
	case wire.Settlement_SETTLEMENT_CRASHED:
		result = claimer.Crashed
	default:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims.Settle(q.GetFingerprint(), identifier.Attempt(q.GetAttempt()), result, r.now())
	return &wire.SettleReply{}, nil
}

// Pardon drops the crashes of the requests with the given fingerprints, so that
// they may run again.
func (r *Registrar) Pardon(fingerprints []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fingerprints {
		r.claims.Pardon(f)
	}
}

// Len returns the number of requests with state.
func (r *Registrar) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claims.Len()
}
