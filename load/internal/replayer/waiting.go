package replayer

import (
	"strconv"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/queuer"
)

// Shares of the times of a request for which it waits at an entry, as entries have them.
const (
	patienceShare   = 0.5 // of the target less patienceReserve
	patienceReserve = 250 * time.Millisecond
	patienceTimeout = 0.2 // of the time until its caller gives up
)

// line is the queue of one entry, with what it knows of those of the others.
type line struct {
	queue     *queuer.Queue[waiting]
	board     *queuer.Board
	scheduled bool // the next pass
}

// waiting is a request that waits at an entry.
type waiting struct {
	*request
	since time.Duration // of this try
}

func newLine() *line {
	return &line{queue: queuer.New[waiting](queuer.Limits{}), board: queuer.NewBoard()}
}

// describe returns what a queue knows of a request that arrived at the given time.
func (r *replay) describe(q *request, arrival time.Duration) queuer.Request {
	c := r.config.Load.Classes[q.class]
	patience := min(patienceShare*float64(c.Target-patienceReserve), patienceTimeout*float64(q.arrival+c.CallerTimeout-arrival))
	return queuer.Request{
		Rank: c.Rank, Kind: c.Name, Size: q.tokens, Returned: q.returned, Arrived: epoch.Add(arrival), Patience: max(0, time.Duration(patience)),
	}
}

// enter places a request that has arrived at an entry, or lets it wait there.
func (r *replay) enter(q *request, entry int, arrival time.Duration) {
	l, now := r.lines[entry], epoch.Add(r.emulator.Now())
	d := r.describe(q, arrival)
	if l.queue.MayPass(d, now) && !l.board.Yields(d, queuer.HashService(service), now) && r.decide(q, entry, arrival) != assigner.Wait {
		return
	}
	l.queue.Add(d, waiting{request: q, since: arrival}, now)
	r.scheduleSweep(entry)
}

// scheduleSweep schedules the next pass over an entry's queue, if requests wait there.
func (r *replay) scheduleSweep(entry int) {
	l := r.lines[entry]
	if l.scheduled || l.queue.Len() == 0 {
		return
	}
	l.scheduled = true
	r.emulator.Schedule(r.emulator.Now()+waitInterval, func() {
		l.scheduled = false
		r.sweep(entry)
		r.scheduleSweep(entry)
	})
}

// sweep decides on the requests that wait at an entry, in their order.
func (r *replay) sweep(entry int) {
	l, now := r.lines[entry], epoch.Add(r.emulator.Now())
	s := l.queue.Sweep(now)
	for w := s.Next(); w != nil; w = s.Next() {
		decision := assigner.Wait
		if !l.board.Yields(w.Request, queuer.HashService(service), now) {
			decision = r.decide(w.Value.request, entry, w.Value.since)
		}
		switch decision {
		case assigner.Wait:
			s.Stop()
		case assigner.Serve:
			s.Placed()
			l.queue.Remove(w)
		case assigner.Refuse:
			l.queue.Remove(w)
		}
	}
}

// exchangeWaiting updates every entry with what waits at the others, then lets it decide.
func (r *replay) exchangeWaiting(now time.Time) {
	for i := range r.lines {
		r.tellWaiting(i, now)
	}
	for i := range r.lines {
		r.sweep(i)
	}
}

// tellWaiting updates the other entries with what waits at one.
func (r *replay) tellWaiting(entry int, now time.Time) {
	counts := map[uint32][]queuer.Count{}
	if c := r.lines[entry].queue.Counts(); len(c) > 0 {
		counts[queuer.HashService(service)] = c
	}
	for _, j := range r.peers(entry) {
		if j != entry {
			r.lines[j].board.ApplyPeer(strconv.Itoa(entry), counts, now)
		}
	}
}

// returnIn returns after which time the caller of a refused request comes back.
func (r *replay) returnIn(q *request, entry int, p assigner.Prompt, plan assigner.Plan) time.Duration {
	if r.config.Unordered {
		return r.fixedReturn()
	}
	now := epoch.Add(r.emulator.Now())
	ahead := r.lines[entry].queue.Len() + r.lines[entry].board.Elsewhere(queuer.HashService(service), r.config.Load.Classes[q.class].Rank+1, now)
	s := queuer.Shortage{
		Excess: p.Waited + plan.Expected - p.Target, Ahead: time.Duration(ahead) * r.config.Load.Engine.PrefillTime(p.Tokens),
		Servers: len(r.engines(entry)), Demand: p.PrefillLoad, Remaining: p.CallerTimeout - p.Waited,
	}
	return s.ReturnIn(r.random.Float64())
}

// fixedReturn returns a time that does not depend on the load.
func (r *replay) fixedReturn() time.Duration {
	return minRetryDelay + time.Duration(r.random.Float64()*float64(retryJitter))
}
