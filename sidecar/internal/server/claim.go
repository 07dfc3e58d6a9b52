package server

import (
	"context"
	"sync"
	"time"

	"bamboohill/core/ranker"
	"bamboohill/wire"
)

// Limits of claims. A claim is a permission of a request's home entry to run one
// more copy of the request.
const (
	maxClaimHomes = 2                      // home entries tried in turn until one replies
	claimTimeout  = 250 * time.Millisecond // of one call
	homeBackoff   = time.Second            // before a home entry that did not reply is tried again
	copiesRetry   = 100 * time.Millisecond // delay after which a refused copy should be retried
)

// homeSelector selects the home entries of requests. It skips entries that did
// not reply recently.
type homeSelector struct {
	mu           sync.Mutex
	backoffUntil map[string]time.Time // by address of the entry
}

// pick returns the entries to call about a request, in order of rank.
func (h *homeSelector) pick(fingerprint string, entries []string, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var picked []string
	for _, a := range ranker.Top(fingerprint, entries, len(entries)) {
		if len(picked) < maxClaimHomes && !now.Before(h.backoffUntil[a]) {
			picked = append(picked, a)
		}
	}
	return picked
}

// backOff skips an entry for homeBackoff.
func (h *homeSelector) backOff(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.backoffUntil == nil {
		h.backoffUntil = map[string]time.Time{}
	}
	h.backoffUntil[address] = now.Add(homeBackoff)
}

// heldClaim is a granted claim; the zero value is none.
type heldClaim struct {
	home        string // address of the home entry
	fingerprint string
	attempt     string
}

// claim requests a claim for one more copy of a request from its home entry,
// which all sidecars find by hashing. If no home entry replies, the request runs
// without a claim: the limit on copies is not enforced while both home entries
// are unreachable. claim does nothing unless the settings enable the limit.
func (s *Server) claim(ctx context.Context, p *wire.Proposal) (heldClaim, *wire.Refused) {
	if !s.config.Settings.Limits.BoundCopies || s.engine == nil || p.GetFingerprint() == "" || p.GetGang() != "" {
		return heldClaim{}, nil
	}
	for _, home := range s.homes.pick(p.GetFingerprint(), s.reporter.Known(), time.Now()) {
		reply, err := s.requestClaim(ctx, home, p)
		switch {
		case err != nil && ctx.Err() != nil:
			return heldClaim{}, &wire.Refused{Reason: wire.Reason_REASON_LATE, Outcome: wire.Outcome_OUTCOME_NOT_RUN}
		case err != nil:
			s.homes.backOff(home, time.Now())
		case reply.GetHeld():
			return heldClaim{home: home, fingerprint: p.GetFingerprint(), attempt: p.GetAttempt()}, nil
		default:
			return heldClaim{}, &wire.Refused{
				Reason: wire.Reason_REASON_COPIES, Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryMs: copiesRetry.Milliseconds(),
				Detail: "copies run elsewhere", Servers: reply.GetServers(),
			}
		}
	}
	s.counts.unclaimed.Add(1)
	return heldClaim{}, nil
}

// requestClaim requests a claim from one home entry, within claimTimeout.
func (s *Server) requestClaim(ctx context.Context, home string, p *wire.Proposal) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return wire.NewClaimsProtobufClient(s.peer.URL(home), s.peer.Client).Claim(ctx, &wire.ClaimRequest{
		Fingerprint: p.GetFingerprint(), Server: s.config.Settings.Server, Attempt: p.GetAttempt(), LeaseMs: p.GetRemainingMs(),
	})
}

// settle reports to the home entry how a claimed attempt ended. If the call
// fails, the claim remains until its lease expires.
func (s *Server) settle(c heldClaim, how wire.Settlement) {
	if c.home == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	wire.NewClaimsProtobufClient(s.peer.URL(c.home), s.peer.Client).Settle(ctx, &wire.SettleRequest{
		Fingerprint: c.fingerprint, Attempt: c.attempt, Settlement: how,
	})
}

// settlementOf returns how an attempt ended, derived from its refusal. If the
// context has ended, since the caller cancelled the attempt or its deadline passed,
// the refusal shows nothing about the engine.
func settlementOf(ctx context.Context, refused *wire.Refused) wire.Settlement {
	switch {
	case refused == nil:
		return wire.Settlement_SETTLEMENT_FINISHED
	case refused.GetReason() == wire.Reason_REASON_CRASH && ctx.Err() == nil:
		return wire.Settlement_SETTLEMENT_CRASHED
	}
	return wire.Settlement_SETTLEMENT_ENDED
}
