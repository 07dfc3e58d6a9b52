// Package puller asks entries which configuration they have in force and reads
// it from them: the way to the newest configuration when the table service is
// down, and for processes too many to read it.
//
// # Usage
//
//	p := puller.New(puller.Config{Addresses: roster.Known})
//	k := keeper.New(keeper.Config{Table: table, Peers: p})
//
// A first round asks some of the addresses; a second one asks entries that the
// answers name, so that a process which knows one entry asks several.
package puller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/keeper"
	"bamboohill/wire"
)

// Bounds of one question.
const (
	width          = 2 * keeper.PeerQuorum // entries asked in one round
	defaultTimeout = time.Second
)

// Config describes a Puller. The zero Timeout is one second a call, the nil Peer
// connects without TLS.
type Config struct {
	Addresses func() []string // of known entries, this process not among them
	Self      string          // never asked
	Timeout   time.Duration
	Peer      *certifier.Peer
}

// Puller implements keeper.Peers.
type Puller struct {
	config Config
}

// New returns a puller. It panics if Addresses is nil.
func New(config Config) *Puller {
	if config.Addresses == nil {
		panic("puller: nil addresses")
	}
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Peer == nil {
		config.Peer = certifier.NewPeer(nil)
	}
	return &Puller{config: config}
}

func (p *Puller) peer(address string) wire.Peers {
	return wire.NewPeersProtobufClient(p.config.Peer.URL(address), p.config.Peer.Client)
}

// Ask implements keeper.Peers. An entry that does not answer counts as known,
// and so does one that an answer counts without naming it: an entry that is
// cut off names nobody, and must not pass for the only one.
func (p *Puller) Ask(ctx context.Context) (int, []keeper.Answer) {
	known := p.others(p.config.Addresses())
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	asked := known[:min(width, len(known))]
	answers, said := p.round(ctx, asked)
	for _, a := range p.others(said.names) {
		if !slices.Contains(known, a) {
			known = append(known, a)
		}
	}
	if len(answers) < keeper.PeerQuorum && len(known) > len(asked) {
		rest := known[len(asked):]
		more, also := p.round(ctx, rest[:min(width, len(rest))])
		answers = append(answers, more...)
		said.most = max(said.most, also.most)
	}
	return max(len(known), said.most), answers
}

// hearsay is what the answers of a round say of other entries.
type hearsay struct {
	names []string
	most  int // entries that exist according to one answer
}

func (p *Puller) others(addresses []string) []string {
	all := slices.Compact(slices.Sorted(slices.Values(addresses)))
	return slices.DeleteFunc(all, func(a string) bool { return a == p.config.Self })
}

// round asks some entries at once and returns what they answer and the entries
// that they name.
func (p *Puller) round(ctx context.Context, addresses []string) ([]keeper.Answer, hearsay) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeout)
	defer cancel()
	var all sync.WaitGroup
	var mu sync.Mutex
	var answers []keeper.Answer
	var said hearsay
	for _, address := range addresses {
		all.Go(func() {
			g, err := p.peer(address).Greet(ctx, &wire.Greeting{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, keeper.Answer{
				Address: address, Sequence: g.GetSequence(), Ready: g.GetReady(), Age: time.Duration(g.GetAgeMs()) * time.Millisecond,
			})
			for _, m := range g.GetMembers() {
				said.names = append(said.names, m.GetAddress())
			}
			said.most = max(said.most, p.count(int(g.GetKnown())))
		})
	}
	all.Wait()
	return answers, said
}

// count returns how many peers this process has when an entry knows so many
// others: as many for another entry, one more for a sidecar.
func (p *Puller) count(others int) int {
	if p.config.Self == "" {
		return others + 1
	}
	return others
}

// Pull implements keeper.Peers.
func (p *Puller) Pull(ctx context.Context, address string, after uint64) (*wire.Batch, error) {
	return p.peer(address).Pull(ctx, &wire.PullRequest{After: after})
}
