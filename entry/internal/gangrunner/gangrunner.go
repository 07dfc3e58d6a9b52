// Package gangrunner runs a prompt that exceeds the memory of every single backend
// server on a gang of several. It chooses the members, reserves memory at all of
// them or at none, sends each a proposal, and returns the answer of the leader.
//
// # Usage
//
//	members, ok := gangrunner.Choose(servers, offers, prompt, answer)
//	a, err := r.Propose(ctx, proposal, payload, members)
//	var refused *reserver.RefusedError // nothing ran and nothing is reserved
//	defer a.Close()                    // releases every member
//	frame, err := a.Next()
//
// If a member crashes, refuses or loses its reservation, the answer ends with an
// error, like a broken stream.
package gangrunner

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"bamboohill/core/identifier"
	"bamboohill/core/reserver"
	"bamboohill/core/watcher"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// maxMembers is the largest number of members of a gang.
const maxMembers = 8

// Attempt is one proposal in progress.
type Attempt interface {
	Next() (*wire.Frame, error)
	Position() int64
	Close() error
}

// Config configures a Runner. Both fields must be set.
type Config struct {
	Client  reserver.Client
	Propose func(ctx context.Context, address string, p *wire.Proposal, payload []byte) (Attempt, error)
}

// Runner runs gangs.
type Runner struct {
	config Config
}

// New returns a runner. It panics if config.Client or config.Propose is nil.
func New(config Config) *Runner {
	if config.Client == nil || config.Propose == nil {
		panic("gangrunner: client and propose must be set")
	}
	return &Runner{config: config}
}

// Choose returns the smallest gang of open servers with enough free memory for the
// prompt and its answer, in tokens, and whether there is one. Servers with the
// most free memory come first. offers reports whether a server has what the prompt
// asks for.
func Choose(servers []watcher.Server, offers func(*wire.Report) bool, prompt, answer int64) ([]watcher.Server, bool) {
	var usable []watcher.Server
	for _, s := range servers {
		if s.GetState() == wire.State_STATE_OPEN && offers(s.Report) {
			usable = append(usable, s)
		}
	}
	slices.SortStableFunc(usable, func(a, b watcher.Server) int { return cmp.Compare(b.GetFree(), a.GetFree()) })
	for n := 2; n <= min(len(usable), maxMembers); n++ {
		if usable[n-1].GetFree() >= reserver.TokensPerMember(prompt, answer, n) {
			return usable[:n], true
		}
	}
	return nil, false
}

// Propose reserves memory at every member and sends each a proposal. The error is
// a *reserver.RefusedError if a member refused to reserve memory or did not answer;
// nothing has run and nothing is reserved then. After any other error the prompt
// may have run.
func (r *Runner) Propose(ctx context.Context, p *wire.Proposal, payload []byte, members []watcher.Server) (Attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	byName := map[identifier.Server]watcher.Server{}
	requested := make([]reserver.Member, 0, len(members))
	for _, m := range members {
		byName[identifier.Server(m.GetServer())] = m
		requested = append(requested, reserver.Member{Server: identifier.Server(m.GetServer()), VM: identifier.VM(m.GetVm()), Address: m.GetAddress()})
	}
	gang, err := reserver.Reserve(ctx, reserver.Config{
		Client: r.config.Client, Gang: p.GetAttempt(), Request: p.GetRequest(), Model: p.GetModel(), Sequence: p.GetSequence(),
		Fingerprint: p.GetFingerprint(), Tokens: reserver.TokensPerMember(p.GetPrompt(), p.GetAnswer(), len(members)),
	}, requested)
	if err != nil {
		cancel()
		return nil, err
	}
	var names []string
	for _, m := range gang.Members() {
		names = append(names, string(m.Server))
	}
	go cancelWhenLost(ctx, gang, cancel)
	for _, m := range gang.Members()[1:] {
		q := memberProposal(p, byName[m.Server], names)
		q.Attempt = string(identifier.New[identifier.Attempt]())
		go r.follow(ctx, m.Address, q, payload, cancel)
	}
	leader := gang.Members()[0]
	a, err := r.config.Propose(ctx, leader.Address, memberProposal(p, byName[leader.Server], names), payload)
	if err != nil {
		cancel()
		gang.Release()
		return nil, err
	}
	return &attempt{Attempt: a, gang: gang, cancel: cancel}, nil
}

// cancelWhenLost cancels the gang's attempts when a member loses its reservation.
func cancelWhenLost(ctx context.Context, gang *reserver.Gang, cancel context.CancelFunc) {
	select {
	case <-gang.Lost():
		cancel()
	case <-ctx.Done():
	}
}

// memberProposal returns the gang's proposal for one of its servers.
func memberProposal(p *wire.Proposal, server watcher.Server, names []string) *wire.Proposal {
	q := proto.Clone(p).(*wire.Proposal)
	q.Boot = server.GetBoot()
	q.Gang = p.GetAttempt()
	q.Members = names
	return q
}

// follow sends a proposal to a member other than the leader and reads its frames
// until the gang ends. If the member's stream ends before that, it cancels the
// gang.
func (r *Runner) follow(ctx context.Context, address string, p *wire.Proposal, payload []byte, cancel context.CancelFunc) {
	defer cancel()
	a, err := r.config.Propose(ctx, address, p, payload)
	if err != nil {
		return
	}
	defer a.Close()
	for {
		f, err := a.Next()
		if err != nil || f.GetRefused() != nil {
			return
		}
	}
}

// attempt is the leader's answer; closing it releases every member.
type attempt struct {
	Attempt
	gang   *reserver.Gang
	cancel context.CancelFunc
}

// Close ends the leader's attempt, cancels the other members and releases all
// reservations.
func (a *attempt) Close() error {
	err := a.Attempt.Close()
	a.cancel()
	a.gang.Release()
	return err
}

// SidecarClient calls the gates of sidecars; it implements reserver.Client.
type SidecarClient struct {
	URL    func(address string) string
	Client *http.Client
}

func (c SidecarClient) sidecar(address string) wire.Gate {
	return wire.NewGateProtobufClient(c.URL(address), c.Client)
}

// Reserve implements reserver.Client.
func (c SidecarClient) Reserve(ctx context.Context, address string, q *wire.ReserveRequest) (*wire.ReserveReply, error) {
	return c.sidecar(address).Reserve(ctx, q)
}

// Renew implements reserver.Client.
func (c SidecarClient) Renew(ctx context.Context, address string, q *wire.RenewRequest) (*wire.ReserveReply, error) {
	return c.sidecar(address).Renew(ctx, q)
}

// Release implements reserver.Client.
func (c SidecarClient) Release(ctx context.Context, address string, q *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	return c.sidecar(address).Release(ctx, q)
}
