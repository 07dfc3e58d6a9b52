package listener

import (
	"cmp"
	"slices"
	"sync/atomic"

	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Counts is what a listener has taken since its start.
type Counts struct {
	Calls      atomic.Int64 // heartbeats as calls
	Datagrams  atomic.Int64 // heartbeats as datagrams
	Forged     atomic.Int64 // datagrams with a wrong code, or of another server
	Unknown    atomic.Int64 // datagrams of no session
	Late       atomic.Int64 // datagrams not newer than the last
	Bytes      atomic.Int64 // of heartbeats' datagrams both ways, headers included
	Pushes     atomic.Int64 // pushes that were taken as datagrams
	Unanswered atomic.Int64 // pushes without an answer
}

// Heartbeats returns how many heartbeats were taken and about how many bytes they
// and their answers were.
func (c *Counts) Heartbeats() (beats, bytes int64) {
	calls := c.Calls.Load()
	return calls + c.Datagrams.Load(), calls*callBytes + c.Bytes.Load()
}

// digest sums up what a reply says besides what every datagram's answer says,
// and besides times, which pass.
func digest(reply *wire.BeatReply) uint64 {
	news := proto.Clone(reply).(*wire.BeatReply)
	news.Sequence, news.Wanted, news.EveryMs, news.Pass = 0, 0, 0, nil
	for _, a := range news.GetSuspects() {
		a.AgeMs = 0
	}
	slices.SortFunc(news.GetSuspects(), func(a, b *wire.Accusation) int {
		return cmp.Or(cmp.Compare(a.GetFingerprint(), b.GetFingerprint()), cmp.Compare(a.GetServer(), b.GetServer()), cmp.Compare(a.GetBoot(), b.GetBoot()))
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(news)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
