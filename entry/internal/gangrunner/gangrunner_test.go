package gangrunner

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/reserver"
	"bamboohill/core/watcher"
	"bamboohill/wire"

	"github.com/matryer/is"
)

func server(name string, free int64) watcher.Server {
	return watcher.Server{Report: &wire.Report{
		Server: name, Vm: "vm-" + name, Address: name, Free: free, Boot: uint64(len(name)), State: wire.State_STATE_OPEN,
	}}
}

func TestChoose(t *testing.T) {
	tests := map[string]struct {
		free   []int64
		prompt int64
		want   []string
	}{
		"two suffice":         {[]int64{100, 60, 90}, 150, []string{"a", "c"}},
		"three needed":        {[]int64{100, 60, 60}, 150, []string{"a", "b", "c"}},
		"exceeds all servers": {[]int64{100, 60, 60}, 250, nil},
		"nobody":              {nil, 10, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var all []watcher.Server
			for i, free := range test.free {
				all = append(all, server(string(rune('a'+i)), free))
			}
			chosen, found := Choose(all, func(*wire.Report) bool { return true }, test.prompt, 5)
			is.Equal(found, test.want != nil)
			var got []string
			for _, s := range chosen {
				got = append(got, s.GetServer())
			}
			is.Equal(got, test.want)
		})
	}
}

// gate is a fake client that grants every reservation except at the server full.
// Once lost is set, renewals fail.
type gate struct {
	mu   sync.Mutex
	full string
	held map[string]bool
	lost bool
}

func (g *gate) Reserve(_ context.Context, address string, _ *wire.ReserveRequest) (*wire.ReserveReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if address == g.full {
		return &wire.ReserveReply{Reason: wire.Reason_REASON_MEMORY}, nil
	}
	g.held[address] = true
	return &wire.ReserveReply{Held: true}, nil
}

func (g *gate) Renew(_ context.Context, address string, _ *wire.RenewRequest) (*wire.ReserveReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.ReserveReply{Held: g.held[address] && !g.lost}, nil
}

func (g *gate) Release(_ context.Context, address string, _ *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, address)
	return &wire.ReleaseReply{}, nil
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.held)
}

// stream is an attempt without frames that blocks until its context ends.
type stream struct {
	ctx context.Context
}

func (s stream) Next() (*wire.Frame, error) {
	<-s.ctx.Done()
	return nil, io.ErrUnexpectedEOF
}
func (stream) Position() int64 { return 0 }
func (stream) Close() error    { return nil }

func TestPropose(t *testing.T) {
	tests := map[string]struct {
		full     string
		lost     bool // a member loses its reservation
		breaks   bool // the stream of a member other than the leader breaks
		refused  bool
		proposed int
	}{
		"refused":       {full: "b", refused: true},
		"member lost":   {lost: true, proposed: 2},
		"stream broken": {breaks: true, proposed: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				gates := &gate{full: test.full, held: map[string]bool{}}
				var mu sync.Mutex
				var proposals []*wire.Proposal
				g := New(Config{Client: gates, Propose: func(ctx context.Context, address string, p *wire.Proposal, _ []byte) (Attempt, error) {
					mu.Lock()
					defer mu.Unlock()
					proposals = append(proposals, p)
					if test.breaks && address == "b" {
						return nil, io.ErrUnexpectedEOF
					}
					return stream{ctx}, nil
				}})
				p := &wire.Proposal{Attempt: "try", Prompt: 150, Answer: 5}
				a, err := g.Propose(t.Context(), p, nil, []watcher.Server{server("b", 100), server("a", 100)})
				var refused *reserver.RefusedError
				is.Equal(errors.As(err, &refused), test.refused)
				if err == nil {
					gates.mu.Lock()
					gates.lost = test.lost
					gates.mu.Unlock()
					start := time.Now()
					_, err := a.Next() // does not block
					is.True(err != nil)
					is.True(time.Since(start) < 5*time.Second)
					is.NoErr(a.Close())
				}
				synctest.Wait()
				is.Equal(gates.count(), 0)
				is.Equal(len(proposals), test.proposed)
				for _, p := range proposals {
					is.Equal(p.GetGang(), "try")
					is.Equal(p.GetMembers(), []string{"a", "b"})
				}
			})
		})
	}
}
