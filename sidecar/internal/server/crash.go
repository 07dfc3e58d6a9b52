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

// Bounds of telling entries about suspects.
const (
	accuseTimeout = time.Second            // for one entry
	accuseWait    = 250 * time.Millisecond // before the requests that ran are answered
)

// diagnoseBreak finds out why a stream stopped without an end. It must run before the
// attempt leaves the gate, so that a crash finds every companion there.
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
		refused.Reason = wire.Reason_REASON_ENGINE // the engine lives: a broken stream
	}
}

// isDead reports whether an engine's failure to answer shows that its process
// is gone, and not only slow.
func isDead(err error) bool {
	var status *generator.StatusError
	if errors.As(err, &status) {
		return status.Code == http.StatusBadGateway
	}
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// recordCrash takes note of the death of the engine with the given boot number:
// all that ran in it is suspected. It returns once the entries know, or the
// wait is over, so that a caller who sends again at once meets entries that do.
func (s *Server) recordCrash(boot uint64) {
	s.recordingCrash.Lock()
	defer s.recordingCrash.Unlock()
	suspects, news := s.gate.RecordCrash(boot)
	if !news {
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

// publishAccusations spreads accusations to every entry that this sidecar knows and waits
// for them a moment. An entry that misses them learns them with the answers to
// heartbeats.
func (s *Server) publishAccusations(accusations []*wire.Accusation) {
	for _, a := range accusations {
		s.screener.Record(a)
	}
	var all sync.WaitGroup
	for _, address := range s.reporter.Known() {
		all.Go(func() { s.sendAccusations(address, accusations) })
	}
	told := make(chan struct{})
	go func() {
		all.Wait()
		close(told)
	}()
	t := time.NewTimer(accuseWait)
	defer t.Stop()
	select {
	case <-told:
	case <-t.C:
	}
}

func (s *Server) sendAccusations(address string, accusations []*wire.Accusation) {
	ctx, cancel := context.WithTimeout(context.Background(), accuseTimeout)
	defer cancel()
	peer := wire.NewPeersProtobufClient(s.peer.URL(address), s.peer.Client)
	for _, a := range accusations {
		if _, err := peer.Accuse(ctx, a); err != nil {
			s.reporter.Renew(address) // so that its reply shows what it lacks
			return
		}
	}
}

// onHeartbeatReply takes an entry's answer to a heartbeat: what that entry knows of the
// wanted state and of suspects comes here, what it lacks goes there.
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

// refuseSuspect keeps the rules for suspects whatever the entry knows of them:
// a suspect runs only alone, a convict not at all.
func (s *Server) refuseSuspect(p *wire.Proposal) *wire.Refused {
	if s.engine == nil {
		return nil
	}
	setFingerprint(p)
	for _, a := range p.GetSuspects() {
		s.screener.Record(a)
	}
	v := s.screener.Decide(p.GetFingerprint())
	if v.Mode == quarantiner.Allowed || v.Mode == quarantiner.Isolated && p.GetAlone() {
		return nil
	}
	refused := &wire.Refused{Reason: wire.Reason_REASON_SUSPECT, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "suspect"}
	if v.Mode == quarantiner.Blocked {
		refused.Detail = "crashed backend servers"
		refused.RetryMs = time.Until(v.Until).Milliseconds()
	}
	return refused
}
