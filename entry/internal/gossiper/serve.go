package gossiper

import (
	"context"
	"net/http"
	"path"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/wire"

	"github.com/twitchtv/twirp"
)

// Handler serves wire.Peers. Sidecars may call Greet, Pull and Accuse, entries
// all methods.
func (g *Gossiper) Handler() http.Handler {
	next := wire.NewPeersServer(service{g})
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch path.Base(q.URL.Path) {
		case "Push", "Borrow":
			if !certifier.Admits(q, certifier.Entry) {
				http.Error(w, "for entries only", http.StatusForbidden)
				return
			}
		}
		next.ServeHTTP(w, q)
	})
}

// service implements wire.Peers.
type service struct {
	g *Gossiper
}

// Push implements wire.Peers.
func (s service) Push(ctx context.Context, batch *wire.Batch) (*wire.PushReply, error) {
	k := s.g.config.Keeper
	if err := k.ApplyBatch(ctx, batch); err != nil || k.Observe(batch.GetSequence()) {
		k.CatchUp(ctx, batch.GetSequence())
	}
	s.g.TriggerPush()
	return &wire.PushReply{Sequence: k.State().Sequence}, nil
}

// Pull implements wire.Peers. It fails until this entry has read a configuration
// itself.
func (s service) Pull(_ context.Context, q *wire.PullRequest) (*wire.Batch, error) {
	if !s.g.config.Keeper.Ready() {
		return nil, twirp.NewError(twirp.Unavailable, "not ready")
	}
	return s.g.config.Keeper.State().Since(q.GetAfter()), nil
}

// Greet implements wire.Peers.
func (s service) Greet(_ context.Context, w *wire.Greeting) (*wire.Greeting, error) {
	s.g.applyGreeting(w, time.Now())
	reply := s.g.newGreeting()
	reply.Reports = s.g.wantedReports(w.GetWants())
	if s.g.config.Demand != nil {
		reply.Demand = s.g.config.Demand.Exchange(w.GetDemand())
	}
	if w.GetAsk() {
		reply.Standings = s.g.standings()
	}
	return reply, nil
}

// Accuse implements wire.Peers.
func (s service) Accuse(_ context.Context, a *wire.Accusation) (*wire.AccuseReply, error) {
	if s.g.config.OnAccusation != nil {
		s.g.config.OnAccusation(a)
	}
	return &wire.AccuseReply{}, nil
}

// Borrow implements wire.Peers.
func (s service) Borrow(ctx context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	if s.g.config.Lend == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "no limits are lent here")
	}
	return s.g.config.Lend(ctx, q)
}
