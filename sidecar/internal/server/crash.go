package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"bamboohill/core/generator"
	"bamboohill/core/quarantiner"
	"bamboohill/wire"
)

// Timeouts of sending accusations to entries.
const (
	accuseTimeout = time.Second            // of the call to one entry
	accuseWait    = 250 * time.Millisecond // longest wait for all entries before the affected requests are refused
)

// diagnoseBreak determines why a stream broke off without an end: either the
// engine crashed, or only the stream broke. It must run before the attempt is
// removed from the gate, so that a crash makes a suspect of every request that ran
// in the engine.
func (s *Server) diagnoseBreak(refused *wire.Refused) {
	old, _ := s.engine.lastStatus()
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	err := s.engine.refresh(ctx)
	now, _ := s.engine.lastStatus()
	switch {
	case err != nil && isDead(err):
		s.recordCrash(now.Boot)
	case err == nil && now.Boot == old.Boot && !s.gate.Crashed(now.Boot):
		refused.Reason = wire.Reason_REASON_ENGINE // the engine still runs: only the stream broke
	}
}

// isDead reports whether a failed status request shows that the engine's process
// is dead and not only slow.
func isDead(err error) bool {
	var status *generator.StatusError
	if errors.As(err, &status) {
		return status.Code == http.StatusBadGateway
	}
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// recordCrash records a crash of the engine with the given boot number: every
// request that ran in it becomes a suspect. It returns once the entries know the
// suspects or accuseWait has passed, so that a caller that retries immediately
// reaches entries that know them.
func (s *Server) recordCrash(boot uint64) {
	s.recordingCrash.Lock()
	defer s.recordingCrash.Unlock()
	suspects, recorded := s.gate.RecordCrash(boot)
	if !recorded {
		return
	}
	s.counts.crashes.Add(1)
	s.config.Log.Warn().Str("event", "crash").Str("server", s.config.Settings.Server).Int("suspects", len(suspects)).Msg("")
	for _, a := range suspects {
		a.Server = s.config.Settings.Server
		s.config.Log.Warn().Str("event", "suspect").Str("fingerprint", a.GetFingerprint()).Bool("alone", a.GetAlone()).Msg("")
	}
	s.publishAccusations(suspects)
}

// publishAccusations sends accusations to every entry that this sidecar knows and
// waits for the replies, at most accuseWait. An entry that misses them receives
// them when its replies to heartbeats show that it lacks them.
func (s *Server) publishAccusations(accusations []*wire.Accusation) {
	for _, a := range accusations {
		s.screener.Record(a)
	}
	var all sync.WaitGroup
	for _, address := range s.reporter.Known() {
		all.Go(func() { s.sendAccusations(address, accusations) })
	}
	sent := make(chan struct{})
	go func() {
		all.Wait()
		close(sent)
	}()
	t := time.NewTimer(accuseWait)
	defer t.Stop()
	select {
	case <-sent:
	case <-t.C:
	}
}

// sendAccusations sends accusations to one entry.
func (s *Server) sendAccusations(address string, accusations []*wire.Accusation) {
	ctx, cancel := context.WithTimeout(context.Background(), accuseTimeout)
	defer cancel()
	peer := wire.NewPeersProtobufClient(s.peer.URL(address), s.peer.Client)
	for _, a := range accusations {
		if _, err := peer.Accuse(ctx, a); err != nil {
			s.reporter.ForceCall(address) // its next reply then shows which accusations it lacks
			return
		}
	}
}

// onHeartbeatReply handles an entry's reply to a heartbeat: it applies what the
// entry knows of the desired state, the configuration and suspects, and sends the
// accusations that the entry lacks.
func (s *Server) onHeartbeatReply(address string, reply *wire.BeatReply) {
	s.desired.raise(reply.GetWanted())
	if s.keeper.Observe(reply.GetSequence()) {
		s.catchUp(reply.GetSequence(), address)
	}
	for _, a := range reply.GetSuspects() {
		s.screener.Record(a)
	}
	if missing := s.screener.Missing(reply.GetSuspects()); len(missing) > 0 {
		s.sendAccusations(address, missing)
	}
}

// refuseSuspect enforces the rules for suspects even if the entry does not know
// them: an isolated suspect runs only alone, a blocked request not at all.
func (s *Server) refuseSuspect(p *wire.Proposal) *wire.Refused {
	if s.engine == nil {
		return nil
	}
	setFingerprint(p)
	for _, a := range p.GetSuspects() {
		s.screener.Record(a)
	}
	d := s.screener.Decide(p.GetFingerprint())
	if d.Mode == quarantiner.Allowed || d.Mode == quarantiner.Isolated && p.GetAlone() {
		return nil
	}
	refused := &wire.Refused{Reason: wire.Reason_REASON_SUSPECT, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "suspect"}
	if d.Mode == quarantiner.Blocked {
		refused.Detail = "crashed backend servers"
		refused.RetryMs = time.Until(d.Until).Milliseconds()
	}
	return refused
}
