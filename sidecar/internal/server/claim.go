package server

import (
	"context"
	"sync"
	"time"

	"bamboohill/core/ranker"
	"bamboohill/wire"
)

// Bounds of asking a request's home.
const (
	maxClaimHomes = 2                      // asked in turn until one answers
	claimTimeout  = 250 * time.Millisecond // for one
	homeBackoff   = time.Second            // until one that did not answer is asked again
	copiesRetry   = 100 * time.Millisecond // for a copy that may run nowhere yet
)

// homeSelector remembers which entries did not answer of late.
type homeSelector struct {
	mu           sync.Mutex
	backoffUntil map[string]time.Time // at rest
}

// pick returns the entries to ask about a request, in order of rank.
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

// backOff leaves an entry out for a while.
func (h *homeSelector) backOff(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.backoffUntil == nil {
		h.backoffUntil = map[string]time.Time{}
	}
	h.backoffUntil[address] = now.Add(homeBackoff)
}

// heldClaim is a claim that some home holds; the zero value is none.
type heldClaim struct {
	home        string
	fingerprint string
	attempt     string
}

// claim asks the request's home, the entry that all sidecars find by hashing,
// whether one more copy of it may run here. A request that no home can be asked
// about runs all the same: the bound is lost for as long as two entries are.
// Nothing is asked unless the settings want the bound.
func (s *Server) claim(ctx context.Context, p *wire.Proposal) (heldClaim, *wire.Refused) {
	if !s.config.Settings.Gate.Copies || s.engine == nil || p.GetFingerprint() == "" || p.GetGang() != "" {
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

func (s *Server) requestClaim(ctx context.Context, home string, p *wire.Proposal) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return wire.NewClaimsProtobufClient(s.peer.URL(home), s.peer.Client).Claim(ctx, &wire.ClaimRequest{
		Fingerprint: p.GetFingerprint(), Server: s.config.Settings.Server, Attempt: p.GetAttempt(), LeaseMs: p.GetRemainingMs(),
	})
}

// settle tells the home how a claimed attempt ended. A word that is lost leaves
// the claim until its lease is over.
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

// settlementOf is how an attempt ended, by what the entry is told of it. One
// whose caller left says nothing of the engine.
func settlementOf(ctx context.Context, refused *wire.Refused) wire.Settlement {
	switch {
	case refused == nil:
		return wire.Settlement_SETTLEMENT_FINISHED
	case refused.GetReason() == wire.Reason_REASON_CRASH && ctx.Err() == nil:
		return wire.Settlement_SETTLEMENT_CRASHED
	}
	return wire.Settlement_SETTLEMENT_ENDED
}
