package queuer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bamboohill/core/queuer"
	"bamboohill/core/sharer"
)

// Times of a fleet in milliseconds: between two passes over a queue, and between two messages
// of an entry, as entries have them.
const (
	passInterval = 20
	passGap      = 10
	tellInterval = 100
	tellGap      = 10
	forever      = math.MaxInt
)

// client is a client account of a fleet.
type client struct {
	name   string
	weight float64 // of its requests among those of all
	only   bool    // through the first entry alone
}

// trouble describes what goes wrong in a fleet.
type trouble struct {
	loss  float64 // share of the messages that are lost
	delay int     // of messages, in milliseconds
	mute  bool    // nobody hears the second entry
	slow  int     // milliseconds between two passes of the third entry; as others if 0
}

// call is a request of a caller.
type call struct {
	id      uint32
	kind    int
	client  int // -1 for none
	asked   int
	again   bool
	counted bool
}

// member is one entry of a fleet.
type member struct {
	queue    *queuer.Queue[call]
	board    *queuer.Board
	promises *queuer.Promises
	sharer   *sharer.Sharer
	wake     bool
	passed   int // when it last passed over its queue
	told     int // when it last told the others
	until    int // when a killed or frozen entry is back
	frozen   []call
	isFrozen bool
}

func newMember() *member {
	return &member{queue: queuer.New[call](queuer.Limits{Requests: 1024}), board: queuer.NewBoard(), promises: queuer.NewPromises(), sharer: sharer.New()}
}

// message is what an entry tells the others.
type message struct {
	from, at int
	counts   []queuer.Count
	uses     []sharer.Use
	promises []queuer.Promise
}

// fleet simulates entries that compete for places, each with the queue, the news and the
// shares of an entry.
type fleet struct {
	random  *rand.Rand
	kinds   []drawnKind
	clients []client
	trouble trouble
	entries []*member
	transit []message
	events  map[int][]func()
	free    int
	now     int
	first   int // requests are counted from this time on

	asked, placed []int     // by kind
	demand, got   []float64 // work by client
	served        []int     // requests by client
	waits         map[int][]time.Duration
	idle          int // milliseconds in which a request waited that had room
	unused        int // and the longest without a break
	longest       int
	calls         uint32
}

func newFleet(seed uint64, entries, places int, kinds []drawnKind, clients []client, t trouble) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 31)), kinds: kinds, clients: clients, trouble: t, events: map[int][]func(){}, free: places,
		asked: make([]int, len(kinds)), placed: make([]int, len(kinds)), demand: make([]float64, len(clients)), got: make([]float64, len(clients)), served: make([]int, len(clients)),
		waits: map[int][]time.Duration{},
	}
	for range entries {
		f.entries = append(f.entries, newMember())
	}
	return f
}

// at calls a function at a time in milliseconds.
func (f *fleet) at(ms int, do func()) { f.events[ms] = append(f.events[ms], do) }

// kill makes an entry lose all that it knows and come back after a time. Its callers do not.
func (f *fleet) kill(i, ms int) {
	*f.entries[i] = *newMember()
	f.entries[i].until = f.now + ms
}

// freeze makes an entry do nothing for a time.
func (f *fleet) freeze(i, ms int) {
	e := f.entries[i]
	e.until, e.isFrozen = f.now+ms, true
	f.at(e.until, func() {
		e.isFrozen = false
		for _, c := range e.frozen {
			f.enter(i, c)
		}
		e.frozen = nil
	})
}

// play plays until the given time.
func (f *fleet) play(until int) {
	for ; f.now < until; f.now++ {
		events := f.events[f.now]
		delete(f.events, f.now)
		for _, do := range events {
			do()
		}
		f.deliver()
		for kind, k := range f.kinds {
			for due := 1 / float64(k.each); f.random.Float64() < due; due-- {
				f.ask(kind)
			}
		}
		for _, i := range f.random.Perm(len(f.entries)) {
			if e := f.entries[i]; f.now >= e.until {
				f.pass(i)
				f.tell(i)
			}
		}
		f.recordIdle()
	}
}

// ask lets a caller send a request to an entry.
func (f *fleet) ask(kind int) {
	f.calls++
	c := call{id: f.calls, kind: kind, client: -1, asked: f.now, counted: f.now >= f.first}
	if len(f.clients) > 0 {
		c.client = f.drawClient()
	}
	if c.counted {
		f.asked[kind]++
		if c.client >= 0 {
			f.demand[c.client] += f.work(c)
		}
	}
	f.send(c)
}

func (f *fleet) drawClient() int {
	sum := 0.0
	for _, c := range f.clients {
		sum += c.weight
	}
	sum *= f.random.Float64()
	for i, c := range f.clients {
		if sum -= c.weight; sum <= 0 {
			return i
		}
	}
	return len(f.clients) - 1
}

func (f *fleet) work(c call) float64 {
	k := f.kinds[c.kind]
	return float64(k.room*k.holds) / 1000
}

// send sends a request to an entry that lives, or to one that is frozen.
func (f *fleet) send(c call) {
	live := make([]int, 0, len(f.entries))
	for i, e := range f.entries {
		if f.now >= e.until || e.isFrozen {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return
	}
	i := live[f.random.IntN(len(live))]
	if c.client >= 0 && f.clients[c.client].only {
		i = live[0]
	}
	if f.entries[i].isFrozen {
		f.entries[i].frozen = append(f.entries[i].frozen, c)
		return
	}
	f.enter(i, c)
}

// describe returns what a queue knows of a request that an entry received at a time.
func (f *fleet) describe(e *member, c call, arrived time.Time, returned bool) queuer.Request {
	r := f.kinds[c.kind].request
	r.Arrived, r.Returned = arrived, returned
	if c.client >= 0 {
		r.Account = f.clients[c.client].name
		r.Over = float64(e.sharer.Standing(service, r.Account, at(f.now)))
	}
	return r
}

// enter places a request that an entry has received, or lets it wait there.
func (f *fleet) enter(i int, c call) {
	e, now := f.entries[i], at(f.now)
	if c.client >= 0 {
		e.sharer.RecordDemand(service, f.clients[c.client].name, f.work(c), now)
	}
	returned := false
	if c.again {
		_, returned = e.promises.Return(c.id, now)
	}
	r := f.describe(e, c, now, returned)
	if e.queue.MayPass(r, now) && f.decide(i, r, c) != waits {
		return
	}
	e.sharer.RecordShortage(service, now)
	_, rejected := e.queue.Add(r, c, now)
	for _, w := range rejected {
		f.refuse(i, w.Value)
	}
}

// decision is what an entry does with a request.
type decision int

const (
	waits decision = iota
	served
	refused
)

// decide decides on a request as an entry does.
func (f *fleet) decide(i int, r queuer.Request, c call) decision {
	e, k := f.entries[i], f.kinds[c.kind]
	switch {
	case e.board.Yields(r, serviceHash, at(f.now)):
		return waits
	case f.free >= k.room:
		f.free -= k.room
		f.at(f.now+k.holds, func() {
			f.free += k.room
			e.wake = true
		})
		if c.client >= 0 {
			e.sharer.RecordUse(service, r.Account, f.work(c), at(f.now))
		}
		if c.counted {
			f.placed[c.kind]++
			f.waits[r.Rank] = append(f.waits[r.Rank], at(f.now).Sub(r.Arrived))
			if c.client >= 0 {
				f.got[c.client] += f.work(c)
				f.served[c.client]++
			}
		}
		return served
	case at(f.now).Sub(r.Arrived) >= r.Patience:
		f.refuse(i, c)
		return refused
	}
	return waits
}

// refuse refuses a request. Its caller comes back once, when it is told to.
func (f *fleet) refuse(i int, c call) {
	e := f.entries[i]
	e.sharer.RecordShortage(service, at(f.now))
	if c.again {
		return
	}
	c.again = true
	wait := int(queuer.Shortage{Servers: 1}.ReturnIn(f.random.Float64()).Milliseconds())
	e.promises.Make(c.id, at(f.now+wait), at(f.now))
	f.at(f.now+wait, func() { f.send(c) })
}

// pass lets an entry decide on its waiting requests, if it is time.
func (f *fleet) pass(i int) {
	e := f.entries[i]
	gap, interval := passGap, passInterval
	if i == 2 && f.trouble.slow > 0 {
		gap, interval = f.trouble.slow, f.trouble.slow
	}
	if e.queue.Len() == 0 || f.now-e.passed < gap || !e.wake && f.now-e.passed < interval {
		return
	}
	e.wake, e.passed = false, f.now
	s := e.queue.Sweep(at(f.now))
	for w := s.Next(); w != nil; w = s.Next() {
		switch f.decide(i, w.Request, w.Value) {
		case served:
			s.Placed()
			e.queue.Remove(w)
		case refused:
			e.queue.Remove(w)
		case waits:
			e.queue.Update(w, f.describe(e, w.Value, w.Arrived, w.Returned))
			s.Stop()
		}
	}
}

// tell sends what an entry knows to the others, if it is time.
func (f *fleet) tell(i int) {
	e := f.entries[i]
	e.board.SetOwn(service, e.queue.Counts())
	since := f.now - e.told
	if since < tellGap || since < tellInterval && len(e.board.Changed()) == 0 {
		return
	}
	select {
	case <-e.board.Changed():
	default:
	}
	e.told = f.now
	f.transit = append(f.transit, message{from: i, at: f.now + f.trouble.delay, counts: e.queue.Counts(), uses: e.sharer.Own(at(f.now)), promises: e.promises.Recent(32, at(f.now))})
}

// deliver delivers the messages that arrive now.
func (f *fleet) deliver() {
	for len(f.transit) > 0 && f.transit[0].at <= f.now {
		m := f.transit[0]
		f.transit = f.transit[1:]
		for to, e := range f.entries {
			if to == m.from || f.now < e.until || f.trouble.mute && m.from == 1 || f.random.Float64() < f.trouble.loss {
				continue
			}
			var counts map[uint32][]queuer.Count
			if len(m.counts) > 0 {
				counts = map[uint32][]queuer.Count{serviceHash: m.counts}
			}
			e.board.ApplyPeer(fmt.Sprint(m.from), counts, at(f.now))
			e.sharer.ApplyPeer(fmt.Sprint(m.from), m.uses, at(f.now))
			e.promises.Apply(m.promises, at(f.now))
			e.wake = true
		}
	}
}

// recordIdle records whether a request waits at a live entry for room that is there.
func (f *fleet) recordIdle() {
	fits := f.free > 0 && slices.ContainsFunc(f.entries, func(e *member) bool {
		return f.now >= e.until && slices.ContainsFunc(e.queue.Waiters(), func(w *queuer.Waiter[call]) bool { return f.kinds[w.Value.kind].room <= f.free })
	})
	if !fits {
		f.unused = 0
		return
	}
	f.idle++
	f.unused++
	f.longest = max(f.longest, f.unused)
}

// meanWait returns the mean wait of the requests of a rank that were placed.
func (f *fleet) meanWait(rank int) time.Duration {
	sum := time.Duration(0)
	for _, d := range f.waits[rank] {
		sum += d
	}
	return sum / time.Duration(max(1, len(f.waits[rank])))
}
