// Package gangrunner runs a prompt that no single backend server has memory for on
// several at once: it chooses the members, reserves at all of them or none,
// proposes to each, and gives back the lead's answer.
//
// # Usage
//
//	members, ok := gangrunner.Choose(servers, offers, prompt, answer)
//	a, err := g.Propose(ctx, proposal, payload, members)
//	var refused *reserver.RefusedError // nothing ran and nothing is held
//	defer a.Close()                    // frees every member
//	frame, err := a.Next()
//
// A member that dies, refuses or loses its reservation ends the answer with an
// error, as a broken stream does.
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

// maxMembers is the largest gang.
const maxMembers = 8

// Attempt is one proposal under way.
type Attempt interface {
	Next() (*wire.Frame, error)
	Position() int64
	Close() error
}

// Config describes a Ganger.
type Config struct {
	Client  reserver.Client
	Propose func(ctx context.Context, address string, p *wire.Proposal, payload []byte) (Attempt, error)
}

// Runner runs gangs.
type Runner struct {
	config Config
}

// New returns a runner. It panics without a gate or a way to propose.
func New(config Config) *Runner {
	if config.Client == nil || config.Propose == nil {
		panic("gangrunner: gate and propose must be set")
	}
	return &Runner{config: config}
}

// Choose returns the smallest set of open servers that together have room for
// a prompt, those with the most free memory first, and whether there is one.
// offers says whether a server has what the prompt asks for.
func Choose(servers []watcher.Server, offers func(*wire.Report) bool, prompt, answer int64) ([]watcher.Server, bool) {
	var able []watcher.Server
	for _, s := range servers {
		if s.GetState() == wire.State_STATE_OPEN && offers(s.Report) {
			able = append(able, s)
		}
	}
	slices.SortStableFunc(able, func(a, b watcher.Server) int { return cmp.Compare(b.GetFree(), a.GetFree()) })
	for n := 2; n <= min(len(able), maxMembers); n++ {
		if able[n-1].GetFree() >= reserver.TokensPerMember(prompt, answer, n) {
			return able[:n], true
		}
	}
	return nil, false
}

// Propose reserves at every member and proposes to each. The error is a
// *reserver.RefusedError if a member had no room; any other means that the
// prompt may have run.
func (g *Runner) Propose(ctx context.Context, p *wire.Proposal, payload []byte, members []watcher.Server) (Attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	byName := map[identifier.Server]watcher.Server{}
	asked := make([]reserver.Member, 0, len(members))
	for _, m := range members {
		byName[identifier.Server(m.GetServer())] = m
		asked = append(asked, reserver.Member{Server: identifier.Server(m.GetServer()), VM: identifier.VM(m.GetVm()), Address: m.GetAddress()})
	}
	held, err := reserver.Reserve(ctx, reserver.Config{
		Client: g.config.Client, Gang: p.GetAttempt(), Request: p.GetRequest(), Model: p.GetModel(), Sequence: p.GetSequence(),
		Fingerprint: p.GetFingerprint(), Tokens: reserver.TokensPerMember(p.GetPrompt(), p.GetAnswer(), len(members)),
	}, asked)
	if err != nil {
		cancel()
		return nil, err
	}
	var names []string
	for _, m := range held.Members() {
		names = append(names, string(m.Server))
	}
	go end(ctx, held, cancel)
	for _, m := range held.Members()[1:] {
		q := member(p, byName[m.Server], names)
		q.Attempt = string(identifier.New[identifier.Attempt]())
		go g.follow(ctx, m.Address, q, payload, cancel)
	}
	lead := held.Members()[0]
	a, err := g.config.Propose(ctx, lead.Address, member(p, byName[lead.Server], names), payload)
	if err != nil {
		cancel()
		held.Release()
		return nil, err
	}
	return &attempt{Attempt: a, held: held, cancel: cancel}, nil
}

// end ends the gang's attempts once a member is lost.
func end(ctx context.Context, held *reserver.Gang, cancel context.CancelFunc) {
	select {
	case <-held.Lost():
		cancel()
	case <-ctx.Done():
	}
}

// member returns a gang's proposal for one of its servers.
func member(p *wire.Proposal, server watcher.Server, names []string) *wire.Proposal {
	q := proto.Clone(p).(*wire.Proposal)
	q.Boot = server.GetBoot()
	q.Gang = p.GetAttempt()
	q.Members = names
	return q
}

// follow holds one member's span until the gang ends. A span that ends before
// ends the gang.
func (g *Runner) follow(ctx context.Context, address string, p *wire.Proposal, payload []byte, cancel context.CancelFunc) {
	defer cancel()
	a, err := g.config.Propose(ctx, address, p, payload)
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

// attempt is the lead's answer; closing it frees every member.
type attempt struct {
	Attempt
	held   *reserver.Gang
	cancel context.CancelFunc
}

// Close ends the gang.
func (a *attempt) Close() error {
	err := a.Attempt.Close()
	a.cancel()
	a.held.Release()
	return err
}

// SidecarClient calls the gates of sidecars; it is a reserver.Client.
type SidecarClient struct {
	URL    func(address string) string
	Client *http.Client
}

func (g SidecarClient) at(address string) wire.Gate {
	return wire.NewGateProtobufClient(g.URL(address), g.Client)
}

// Reserve implements reserver.Client.
func (g SidecarClient) Reserve(ctx context.Context, address string, q *wire.ReserveRequest) (*wire.ReserveReply, error) {
	return g.at(address).Reserve(ctx, q)
}

// Renew implements reserver.Client.
func (g SidecarClient) Renew(ctx context.Context, address string, q *wire.RenewRequest) (*wire.ReserveReply, error) {
	return g.at(address).Renew(ctx, q)
}

// Release implements reserver.Client.
func (g SidecarClient) Release(ctx context.Context, address string, q *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	return g.at(address).Release(ctx, q)
}
