package server

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"bamboohill/core/framer"
	"bamboohill/core/hinter"
	"bamboohill/core/quarantiner"
	"bamboohill/core/router"
	"bamboohill/sidecar/internal/gatekeeper"
	"bamboohill/sidecar/internal/runner"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// ProposalHeader is the name of the HTTP header with the proposal, a
// base64-encoded protobuf message.
const ProposalHeader = "Proposal"

// Timeouts of cancelling an attempt and of waiting for an exported cache.
const (
	cancelTimeout  = time.Second
	minCancelPause = 50 * time.Millisecond
	maxCancelPause = time.Second
	exportWait     = time.Second
)

// propose handles a proposal: it refuses the proposal or runs it and streams the
// frames of the answer.
func (s *Server) propose(w http.ResponseWriter, q *http.Request) {
	p, err := decodeProposal(q.Header.Get(ProposalHeader))
	if err != nil {
		http.Error(w, "bad proposal", http.StatusBadRequest)
		return
	}
	flusher := http.NewResponseController(w)
	frames := framer.NewWriter(framer.WriterConfig{
		Request: p.GetRequest(), Attempt: p.GetAttempt(), Position: p.GetPosition(), Sink: w, Flush: func() { flusher.Flush() },
	})
	s.counts.proposals.Add(1)
	if s.keeper.Observe(p.GetSequence()) {
		s.catchUp(p.GetSequence(), p.GetEntry())
	}
	defer s.reporter.RecordReport(p.GetEntry())
	refused := s.admit(p)
	if refused == nil {
		refused = s.run(w, q, p, frames)
	}
	if refused == nil {
		return
	}
	refused.Report = s.Report()
	refused.Suspects = s.screener.AccusationsFor(p.GetFingerprint())
	s.counts.refusals.Add(refused.GetReason().String(), 1)
	frames.Refuse(refused)
}

// decodeProposal decodes the value of ProposalHeader. It returns an error if the
// value is malformed, and errAmount if an amount in it is out of range.
func decodeProposal(text string) (*wire.Proposal, error) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	p := &wire.Proposal{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, err
	}
	return p, checkAmounts(p)
}

// Limits of the amounts in a proposal. They are far above any real amount, and
// sums of amounts and durations in nanoseconds fit in 64 bits.
const (
	maxTokens    = 1 << 40
	maxRemaining = int64(24 * time.Hour / time.Millisecond) // milliseconds until or after the deadline
)

// errAmount is returned for a proposal whose amounts are negative or above the
// limits, or that has no attempt id.
var errAmount = errors.New("server: amount in proposal out of range")

func checkAmounts(p *wire.Proposal) error {
	for _, n := range []int64{p.GetPrompt(), p.GetAnswer(), p.GetPosition(), p.GetCached()} {
		if n < 0 || n > maxTokens {
			return errAmount
		}
	}
	// A deadline that has just passed is refused by the gate.
	if p.GetRemainingMs() < -maxRemaining || p.GetRemainingMs() > maxRemaining || p.GetAttempt() == "" {
		return errAmount
	}
	return nil
}

// admit admits a proposal and returns nil, or returns the refusal.
func (s *Server) admit(p *wire.Proposal) *wire.Refused {
	if !s.keeper.Ready() {
		// Without a configuration it is unknown whether the VM is out of service.
		return &wire.Refused{
			Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryMs: statusTimeout.Milliseconds(),
			Detail: "no configuration yet",
		}
	}
	if refused := s.refuseSuspect(p); refused != nil {
		return refused
	}
	return s.gate.Admit(p, s.facts(p))
}

// facts returns the facts for a decision of the gate. p is nil for a reservation,
// whose model is checked with its proposal.
func (s *Server) facts(p *wire.Proposal) gatekeeper.Facts {
	set := s.config.Settings
	state := s.keeper.State()
	f := gatekeeper.Facts{
		Now: time.Now(), Boot: s.boot, Sequence: state.Sequence, OutOfService: state.OutOfService(set.Domain, set.VM),
		Leaving: s.leaving.active(), Alive: true, ModelLoaded: true,
	}
	if s.engine != nil {
		status, alive := s.engine.lastStatus()
		f.Alive = alive
		f.Memory = status.Memory
		f.ModelLoaded = p == nil || offers(status.Models, p)
	}
	return f
}

// run executes an admitted proposal and removes it from the gate once the backend
// server no longer works on it. A call that must not be repeated goes through the
// recorder.
func (s *Server) run(w http.ResponseWriter, q *http.Request, p *wire.Proposal, frames *framer.Writer) *wire.Refused {
	ctx, cancel := context.WithTimeout(q.Context(), time.Duration(p.GetRemainingMs())*time.Millisecond)
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		s.gate.Remove(p.GetAttempt(), false)
		return &wire.Refused{Reason: wire.Reason_REASON_DENIED, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "payload broke off"}
	}
	if s.engine != nil {
		return s.runModel(ctx, cancel, p, body, frames)
	}
	if p.GetCall() != wire.Call_CALL_REPEATABLE {
		refused := s.runOnce(ctx, p, body, frames)
		s.gate.Remove(p.GetAttempt(), refused == nil)
		return refused
	}
	if refused := s.gate.Confirm(p.GetAttempt()); refused != nil {
		return refused
	}
	frames.Accept(s.Report())
	refused := s.runner.RunPlain(ctx, p, body, frames, s.Report)
	s.gate.Remove(p.GetAttempt(), refused == nil)
	return refused
}

// runModel runs an attempt in the engine under a claim of its home entry and waits
// for its end. An attempt that the engine may still run is cancelled in the
// background, and its claim is settled after that; a crash is settled at once.
func (s *Server) runModel(ctx context.Context, cancel context.CancelFunc, p *wire.Proposal, body []byte, frames *framer.Writer) *wire.Refused {
	claim, refused := s.claim(ctx, p)
	if refused != nil {
		s.gate.Remove(p.GetAttempt(), false)
		return refused
	}
	if refused = s.confirm(ctx, p); refused != nil {
		go s.settle(claim, wire.Settlement_SETTLEMENT_ENDED)
		return refused
	}
	refused = s.generate(ctx, cancel, p, body, frames)
	how := settlementOf(ctx, refused)
	if refused == nil || refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		go s.settle(claim, how)
		return refused
	}
	go func() {
		if how == wire.Settlement_SETTLEMENT_CRASHED {
			s.settle(claim, how)
		}
		s.cancelAndRemove(p.GetAttempt())
		s.settle(claim, how)
	}()
	return refused
}

// generate has the engine run a confirmed attempt and forwards its tokens. An
// attempt that did not end by itself is left to cancelAndRemove.
func (s *Server) generate(ctx context.Context, cancel context.CancelFunc, p *wire.Proposal, body []byte, frames *framer.Writer) *wire.Refused {
	running := s.attempts.add(p, cancel)
	if p.GetPrompt()-p.GetCached() >= router.LongTokens {
		go s.announce(ctx)
	}
	s.collector.AddPrompt(hinter.HashPrompt(body))
	defer s.attempts.remove(p.GetAttempt())
	frames.Accept(s.Report())
	refused := s.runner.RunModel(ctx, p, body, frames, runner.Hooks{Report: s.Report, OnFirstToken: s.firstTokenHook(p), Part: s.part(p)})
	switch {
	case refused == nil:
		s.recordFinished(p)
	case refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN:
		s.gate.Remove(p.GetAttempt(), false)
	case s.attempts.haveEnded() && ctx.Err() != nil:
		// The entry continues the request elsewhere, and counts no failure.
		refused.Reason = wire.Reason_REASON_MOVED
	case refused.GetReason() == wire.Reason_REASON_MOVED:
		s.awaitExport(running, refused)
	case refused.GetReason() == wire.Reason_REASON_CRASH && ctx.Err() == nil:
		s.diagnoseBreak(refused)
	}
	return refused
}

// confirm confirms the admission immediately before the engine is called. If more
// requests than the cold limit run, it first reads the engine's status, since the
// engine may have turned cold since the last probe.
func (s *Server) confirm(ctx context.Context, p *wire.Proposal) *wire.Refused {
	if s.gate.Running() > s.config.Settings.Limits.ColdRequests && s.engine.refresh(ctx) != nil {
		s.gate.Remove(p.GetAttempt(), false)
		return &wire.Refused{
			Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryMs: statusTimeout.Milliseconds(), Detail: "no status",
		}
	}
	if refused := s.gate.Confirm(p.GetAttempt()); refused != nil {
		return refused
	}
	s.attempts.offeredTokens.Add(max(p.GetPrompt(), 0))
	return nil
}

// setFingerprint computes the fingerprint under which the request is known as a
// crash suspect, if the entry did not send it.
func setFingerprint(p *wire.Proposal) {
	if p.GetFingerprint() != "" || len(p.GetHash()) != sha256.Size {
		return
	}
	p.Fingerprint = quarantiner.Fingerprint(p.GetAccount(), p.GetHash())
}

// firstTokenHook returns the function to call at an attempt's first token. It
// compares the time to the first token with the estimate for all prefill that was
// sent to the engine until then, since the engine may run all of it before this
// attempt.
func (s *Server) firstTokenHook(p *wire.Proposal) func() {
	status, _ := s.engine.lastStatus()
	before := status.Queued + max(p.GetPrompt(), 0)
	offered := s.attempts.offeredTokens.Load()
	start := time.Now()
	return func() {
		took := time.Since(start)
		s.attempts.recordFirstToken(p.GetAttempt())
		ahead := before + s.attempts.offeredTokens.Load() - offered
		if s.gate.RecordFirstToken(p.GetAttempt(), took, s.engine.expectedPrefillTime(ahead)) {
			s.counts.slowFirstTokens.Add(1)
			s.config.Log.Warn().Str("event", "cold").Str("sign", "first token").Str("attempt", p.GetAttempt()).Dur("took", took).Msg("")
		}
	}
}

// part returns the index of the part of a gang's prompt that this backend server
// processes, 0 without a gang.
func (s *Server) part(p *wire.Proposal) int {
	return max(0, slices.Index(p.GetMembers(), s.config.Settings.Server))
}

// recordFinished records that an attempt finished. A suspect that finished in
// isolation is cleared.
func (s *Server) recordFinished(p *wire.Proposal) {
	s.gate.Remove(p.GetAttempt(), true)
	if p.GetAlone() {
		go s.publishAccusations([]*wire.Accusation{{Fingerprint: p.GetFingerprint(), Server: s.config.Settings.Server, Alone: true, Cleared: true}})
	}
}

// cancelAndRemove cancels an attempt in the engine and removes it from the gate
// once the engine has confirmed the cancellation. Until then the attempt counts
// against the limit and the memory.
func (s *Server) cancelAndRemove(id string) {
	pause := minCancelPause
	for !s.leaving.done() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := s.engine.Cancel(ctx, id)
		cancel()
		if err == nil {
			s.gate.Remove(id, false)
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, maxCancelPause)
	}
}
