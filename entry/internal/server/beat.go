package server

import (
	"context"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/pacer"
	"bamboohill/wire"
)

// paceInterval is the interval at which the control traffic is measured to adapt
// the heartbeat interval.
const paceInterval = 10 * time.Second

// heartbeats implements wire.Heartbeats.
type heartbeats struct {
	s *Server
}

// Beat implements wire.Heartbeats.
func (b heartbeats) Beat(_ context.Context, report *wire.Report) (*wire.BeatReply, error) {
	b.s.recordReport(report)
	reply := b.s.newReply(report)
	reply.Pass = b.s.listener.Grant(report, reply)
	return reply, nil
}

// recordReport records the report of a heartbeat, which came as a call or as a
// datagram.
func (s *Server) recordReport(report *wire.Report) {
	s.watcher.Record(report)
	s.hinter.ApplyReport(report)
	s.gossiper.ObserveSequence(report.GetSequence())
}

// newReply returns the reply to a sidecar that sent a report.
func (s *Server) newReply(report *wire.Report) *wire.BeatReply {
	reply := &wire.BeatReply{
		Suspects: s.screener.Accusations(), Entries: s.gossiper.EntriesFor(report.GetServer()),
		EveryMs: s.pacer.Interval(s.listener.Sessions()).Milliseconds(),
	}
	reply.Wanted = s.placer.Revision(report.GetDomain(), report.GetServer())
	if s.keeper.Ready() {
		reply.Sequence = s.keeper.State().Sequence
	}
	return reply
}

// paceHeartbeats measures the control traffic, so that heartbeats get the part
// of the budget that the other control traffic leaves.
func (s *Server) paceHeartbeats(ctx context.Context) {
	t := time.NewTicker(paceInterval)
	defer t.Stop()
	control := s.controlBytes()
	beats, bytes := s.listener.Counts().Heartbeats()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.listener.ExpireSessions()
		nowControl := s.controlBytes()
		nowBeats, nowBytes := s.listener.Counts().Heartbeats()
		s.pacer.Record(pacer.Sample{Duration: paceInterval, ControlBytes: nowControl - control, Heartbeats: nowBeats - beats, HeartbeatBytes: nowBytes - bytes})
		control, beats, bytes = nowControl, nowBeats, nowBytes
	}
}

// controlBytes returns the bytes exchanged with other processes since the start,
// except those of callers' requests.
func (s *Server) controlBytes() int64 { return certifier.InternalBytes() - s.sidecars.Bytes() }
