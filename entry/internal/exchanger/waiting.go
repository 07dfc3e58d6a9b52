package exchanger

import (
	"slices"
	"time"

	"bamboohill/core/queuer"
	"bamboohill/wire"
)

// Bounds of a datagram: a Waiting or a Refusal takes about 14 B.
const (
	maxWaitingTold  = 32
	maxRefusalsTold = 32
)

// Waiting is the Knowledge of the requests that wait at entries, by service and rank, and
// of the refused callers that were told when to come back.
type Waiting struct {
	Board    *queuer.Board
	Promises *queuer.Promises
}

// Encode implements Knowledge.
func (w Waiting) Encode(o *wire.Outstanding, now time.Time) {
	for service, counts := range w.Board.Own() {
		for _, c := range counts {
			o.Waiting = append(o.Waiting, &wire.Waiting{
				Service: queuer.HashService(service), Rank: uint32(c.Rank), Count: uint32(c.Number),
				OldestMs: uint32(max(0, now.Sub(c.Oldest).Milliseconds())),
			})
		}
	}
	if len(o.GetWaiting()) > maxWaitingTold { // the most urgent ones matter to others
		slices.SortFunc(o.Waiting, func(a, b *wire.Waiting) int { return int(a.GetRank()) - int(b.GetRank()) })
		o.Waiting = o.Waiting[:maxWaitingTold]
	}
	for _, p := range w.Promises.Recent(maxRefusalsTold, now) {
		if due := p.Due.Sub(now); due > 0 {
			o.Refusals = append(o.Refusals, &wire.Refusal{Request: p.Request, DueMs: uint32(due.Milliseconds())})
		}
	}
}

// Apply implements Knowledge.
func (w Waiting) Apply(o *wire.Outstanding, now time.Time) {
	counts := map[uint32][]queuer.Count{}
	for _, c := range o.GetWaiting() {
		counts[c.GetService()] = append(counts[c.GetService()], queuer.Count{
			Rank: int(c.GetRank()), Number: int(c.GetCount()), Oldest: now.Add(-time.Duration(c.GetOldestMs()) * time.Millisecond),
		})
	}
	w.Board.ApplyPeer(o.GetEntry(), counts, now)
	promises := make([]queuer.Promise, len(o.GetRefusals()))
	for i, r := range o.GetRefusals() {
		promises[i] = queuer.Promise{Request: r.GetRequest(), Due: now.Add(time.Duration(r.GetDueMs()) * time.Millisecond)}
	}
	w.Promises.Apply(promises, now)
}
