package listener

import (
	"cmp"
	"slices"
	"sync/atomic"

	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Counts counts what a listener has received and sent since its start.
type Counts struct {
	Calls      atomic.Int64 // heartbeats received as calls
	Datagrams  atomic.Int64 // heartbeats received as datagrams
	Forged     atomic.Int64 // datagrams with a wrong authentication code, or of another server or boot
	Unknown    atomic.Int64 // datagrams without a known session
	Late       atomic.Int64 // datagrams not newer than the last one
	Bytes      atomic.Int64 // of heartbeat datagrams and their replies, with IP and UDP headers
	Pushes     atomic.Int64 // pushes sent as datagrams that got a reply
	Unanswered atomic.Int64 // pushes sent as datagrams that got no reply
}

// Heartbeats returns the number of heartbeats received, and the approximate bytes
// of them and their replies.
func (c *Counts) Heartbeats() (beats, bytes int64) {
	calls := c.Calls.Load()
	return calls + c.Datagrams.Load(), calls*callBytes + c.Bytes.Load()
}

// digest returns a hash of what the reply to a call contains beyond the reply to a
// datagram.
// Times are left out, since they change with every reply.
func digest(reply *wire.BeatReply) uint64 {
	rest := proto.Clone(reply).(*wire.BeatReply)
	rest.Sequence, rest.Wanted, rest.EveryMs, rest.Pass = 0, 0, 0, nil
	for _, a := range rest.GetSuspects() {
		a.AgeMs = 0
	}
	slices.SortFunc(rest.GetSuspects(), func(a, b *wire.Accusation) int {
		return cmp.Or(cmp.Compare(a.GetFingerprint(), b.GetFingerprint()), cmp.Compare(a.GetServer(), b.GetServer()), cmp.Compare(a.GetBoot(), b.GetBoot()))
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(rest)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
