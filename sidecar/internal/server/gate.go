package server

import (
	"context"
	"time"

	"bamboohill/wire"

	"github.com/twitchtv/twirp"
)

// gateService implements wire.Gate.
type gateService struct {
	s *Server
}

// Push applies a batch of configuration changes and returns the sequence number
// that the sidecar has then. If the batch can't be applied or further changes
// are missing, they are read from the sources of the configuration.
func (g gateService) Push(ctx context.Context, batch *wire.Batch) (*wire.PushReply, error) {
	g.s.keeper.Observe(batch.GetSequence())
	if err := g.s.keeper.ApplyBatch(ctx, batch); err != nil || g.s.keeper.Observe(batch.GetSequence()) {
		g.s.keeper.CatchUp(ctx, batch.GetSequence())
	}
	return &wire.PushReply{Sequence: g.s.keeper.State().Sequence}, nil
}

// Inspect returns the newest report.
func (g gateService) Inspect(context.Context, *wire.InspectRequest) (*wire.Report, error) {
	return g.s.Report(), nil
}

// Reserve reserves memory for a member of a gang.
func (g gateService) Reserve(_ context.Context, q *wire.ReserveRequest) (*wire.ReserveReply, error) {
	if q.GetGang() == "" || q.GetTokens() <= 0 || q.GetLeaseMs() <= 0 || g.s.engine == nil {
		return nil, twirp.NewError(twirp.InvalidArgument, "a model engine's sidecar needs gang, tokens and lease_ms")
	}
	refused := g.s.gate.Reserve(q, g.s.facts(&wire.Proposal{Model: q.GetModel()}))
	return &wire.ReserveReply{
		Held: refused == nil, Reason: refused.GetReason(), RetryMs: refused.GetRetryMs(), Report: g.s.Report(),
	}, nil
}

// Renew extends the lease of a reservation.
func (g gateService) Renew(_ context.Context, q *wire.RenewRequest) (*wire.ReserveReply, error) {
	held := g.s.gate.Renew(q.GetGang(), time.Duration(q.GetLeaseMs())*time.Millisecond, time.Now())
	return &wire.ReserveReply{Held: held}, nil
}

// Release frees a reservation and cancels the attempts that use it.
func (g gateService) Release(_ context.Context, q *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	g.s.attempts.cancel(g.s.gate.Release(q.GetGang(), time.Now()))
	return &wire.ReleaseReply{}, nil
}
