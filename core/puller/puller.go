// Package puller asks entries for the sequence number of their active
// configuration and reads the configuration from them. A process gets the newest
// configuration this way when the table service is down, or when there are too
// many such processes for all to read the table service.
//
// # Usage
//
//	p := puller.New(puller.Config{Addresses: roster.Known})
//	k := keeper.New(keeper.Config{Table: table, Peers: p})
//
// The first round asks some of the addresses. If fewer than keeper.PeerQuorum
// reply, a second round asks further entries, among them those that the replies
// name, so that a process that knows a single entry asks several.
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

// Limits of one call of Ask.
const (
	roundSize      = 2 * keeper.PeerQuorum // entries asked in one round
	defaultTimeout = time.Second
)

// Config describes a Puller. Timeout limits one round of calls; the default is
// 1 s. If Peer is nil, the puller connects without TLS.
type Config struct {
	Addresses func() []string // of known entries, without this process
	Self      string          // address of this process, never asked; empty for a sidecar
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

// Ask implements keeper.Peers. An entry that does not reply counts as known, and
// so does one that a reply counts without naming it: a disconnected entry names
// no others and must not be taken for the only one.
func (p *Puller) Ask(ctx context.Context) (int, []keeper.Reply) {
	known := p.others(p.config.Addresses())
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	asked := known[:min(roundSize, len(known))]
	replies, members := p.round(ctx, asked)
	for _, a := range p.others(members.addresses) {
		if !slices.Contains(known, a) {
			known = append(known, a)
		}
	}
	if len(replies) < keeper.PeerQuorum && len(known) > len(asked) {
		rest := known[len(asked):]
		more, others := p.round(ctx, rest[:min(roundSize, len(rest))])
		replies = append(replies, more...)
		members.maxKnown = max(members.maxKnown, others.maxKnown)
	}
	return max(len(known), members.maxKnown), replies
}

// membership is the information about other entries in the replies of a round.
type membership struct {
	addresses []string
	maxKnown  int // largest number of known peers derived from one reply
}

func (p *Puller) others(addresses []string) []string {
	all := slices.Compact(slices.Sorted(slices.Values(addresses)))
	return slices.DeleteFunc(all, func(a string) bool { return a == p.config.Self })
}

// round asks the entries concurrently. It returns their replies and the
// information about other entries in them.
func (p *Puller) round(ctx context.Context, addresses []string) ([]keeper.Reply, membership) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	var replies []keeper.Reply
	var members membership
	for _, address := range addresses {
		calls.Go(func() {
			greeting, err := p.peer(address).Greet(ctx, &wire.Greeting{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, keeper.Reply{
				Address: address, Sequence: greeting.GetSequence(), Ready: greeting.GetReady(), Age: time.Duration(greeting.GetAgeMs()) * time.Millisecond,
			})
			for _, m := range greeting.GetMembers() {
				members.addresses = append(members.addresses, m.GetAddress())
			}
			members.maxKnown = max(members.maxKnown, p.count(int(greeting.GetKnown())))
		})
	}
	calls.Wait()
	return replies, members
}

// count returns the number of peers of this process, given the number of other
// entries that an entry knows: the same number if this process is an entry, one
// more if it is a sidecar.
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
