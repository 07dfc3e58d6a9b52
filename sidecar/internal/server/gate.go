package server

import (
	"context"

	"bamboohill/wire"

	"github.com/twitchtv/twirp"
)

// gate serves the calls of wire.Gate.
type gate struct {
	s *Server
}

// Push implements wire.Gate.
func (g gate) Push(ctx context.Context, batch *wire.Batch) (*wire.PushReply, error) {
	g.s.keeper.Heard(batch.GetSequence())
	if err := g.s.keeper.Offer(ctx, batch); err != nil || g.s.keeper.Heard(batch.GetSequence()) {
		g.s.keeper.CatchUp(ctx, batch.GetSequence())
	}
	return &wire.PushReply{Sequence: g.s.keeper.State().Sequence}, nil
}

// Inspect implements wire.Gate.
func (g gate) Inspect(context.Context, *wire.InspectRequest) (*wire.Report, error) {
	return g.s.Report(), nil
}

// Reserve implements wire.Gate.
func (g gate) Reserve(context.Context, *wire.ReserveRequest) (*wire.ReserveReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "gangs")
}

// Renew implements wire.Gate.
func (g gate) Renew(context.Context, *wire.RenewRequest) (*wire.ReserveReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "gangs")
}

// Release implements wire.Gate.
func (g gate) Release(context.Context, *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "gangs")
}
