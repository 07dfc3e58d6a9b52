package server

import (
	"context"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/pacer"
	"bamboohill/wire"
)

// paceEvery is how often the control traffic is counted for the pace of
// heartbeats.
const paceEvery = 10 * time.Second

// beats serves the calls of wire.Heartbeats.
type beats struct {
	s *Server
}

// Beat implements wire.Heartbeats.
func (b beats) Beat(_ context.Context, report *wire.Report) (*wire.BeatReply, error) {
	b.s.hear(report)
	reply := b.s.reply(report)
	reply.Pass = b.s.listener.Grant(report, reply)
	return reply, nil
}

// hear takes the report of a heartbeat, however it came.
func (s *Server) hear(report *wire.Report) {
	s.watcher.Record(report)
	s.hints.ApplyReport(report)
	s.gossiper.ObserveSequence(report.GetSequence())
}

// reply is what a sidecar is answered that sent a report.
func (s *Server) reply(report *wire.Report) *wire.BeatReply {
	reply := &wire.BeatReply{
		Suspects: s.suspects.Accusations(), Entries: s.gossiper.EntriesFor(report.GetServer()),
		EveryMs: s.pacer.Interval(s.listener.Heard()).Milliseconds(),
	}
	reply.Wanted = s.placer.Revision(report.GetDomain(), report.GetServer())
	if s.keeper.Ready() {
		reply.Sequence = s.keeper.State().Sequence
	}
	return reply
}

// pace follows the control traffic, so that heartbeats get what the rest of it
// leaves.
func (s *Server) pace(ctx context.Context) {
	t := time.NewTicker(paceEvery)
	defer t.Stop()
	control := s.control()
	beats, bytes := s.listener.Counts().Beats()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.listener.Tick()
		nowControl := s.control()
		nowBeats, nowBytes := s.listener.Counts().Beats()
		s.pacer.Record(pacer.Sample{Duration: paceEvery, ControlBytes: nowControl - control, Heartbeats: nowBeats - beats, HeartbeatBytes: nowBytes - bytes})
		control, beats, bytes = nowControl, nowBeats, nowBytes
	}
}

// control returns the bytes exchanged with other processes since the start but
// for callers' work.
func (s *Server) control() int64 { return certifier.InternalBytes() - s.sidecars.Bytes() }
