package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bamboohill/core/queuer"
	"bamboohill/core/viewer"
)

// Errors of requests that leave the queue without a decision of the placement.
var (
	errOverflow = errors.New("too many requests wait for backend servers")
	errTooLong  = errors.New("no backend server has become free")
	// errWaitAlone is an errWait for something that no other request waits for, as for a
	// permit that this one has asked for.
	errWaitAlone = fmt.Errorf("%w or a permit", errWait)
)

// Times between two decisions on the requests that wait.
const (
	// sweepInterval is the longest time: room may become free without this entry being
	// told. It is a fraction of the duration of an engine pass.
	sweepInterval = 20 * time.Millisecond
	// minSweepGap is the shortest time, which bounds the cost while many datagrams arrive.
	minSweepGap = 10 * time.Millisecond
)

// lines holds the requests that wait for placement, and decides on them in their order. Its
// goroutine runs only while requests wait.
type lines struct {
	forwarder *Forwarder
	wake      chan struct{}

	mu      sync.Mutex
	queues  map[viewer.ServiceName]*queuer.Queue[*waiter]
	ranked  map[viewer.ServiceName]*viewer.Configuration // by which the waiting requests are ranked
	running bool
	seen    map[int]bool // ranks that metrics have shown
}

// waiter is a request that waits. While it does, its exchange belongs to the goroutine that
// holds mu.
type waiter struct {
	x    *exchange
	done chan struct{} // closed when decided
	item *queuer.Waiter[*waiter]

	mu        sync.Mutex
	decided   bool
	placement placement
	err       error
}

func newLines(f *Forwarder) *lines {
	return &lines{
		forwarder: f, wake: make(chan struct{}, 1),
		queues: map[viewer.ServiceName]*queuer.Queue[*waiter]{}, ranked: map[viewer.ServiceName]*viewer.Configuration{}, seen: map[int]bool{},
	}
}

// awaitPlacement places the request. If that has to wait, or requests that go before it
// wait for as much room, it waits in the queue of its service until it is placed or
// refused, or ctx has ended.
func (x *exchange) awaitPlacement(ctx context.Context) (placement, error) {
	l := x.forwarder.lines
	var p placement
	if l.mayPass(x, time.Now()) {
		var err error
		if p, err = x.place(time.Now()); !errors.Is(err, errWait) {
			return p, err
		}
		x.alone = errors.Is(err, errWaitAlone)
	}
	x.forwarder.Meter.Add("waits", 1)
	x.forwarder.Sharer.RecordShortage(x.service.Name, time.Now())
	x.logDecision("waiting", p)
	return l.await(ctx, x)
}

// request returns what the queue knows of a request.
func (x *exchange) request(now time.Time) queuer.Request {
	r := queuer.Request{
		Rank: x.rank, Kind: x.route.Name, Bytes: len(x.body), Returned: x.returned, Begun: x.history.sends > 0, Alone: x.alone,
		Arrived: x.received, Patience: x.patience(),
	}
	if x.service.Engine != nil {
		r.Size = x.call.Prompt
	}
	if over := x.forwarder.Over; over != nil && x.account != "" {
		r.Over = over(x.account, x.service.Name, now)
	}
	return r
}

// mayPass reports whether a request may be tried before those that wait.
func (l *lines) mayPass(x *exchange, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[x.service.Name]
	return q == nil || q.Len() == 0 || q.MayPass(x.request(now), now)
}

// await waits until a request is placed or refused, or ctx has ended.
func (l *lines) await(ctx context.Context, x *exchange) (placement, error) {
	w := &waiter{x: x, done: make(chan struct{})}
	l.add(w, time.Now())
	select {
	case <-w.done:
	case <-ctx.Done():
		w.finish(placement{}, ctx.Err()) // unless it was decided meanwhile
		l.remove(w)
	}
	w.mu.Lock() // the decision may still be under way
	defer w.mu.Unlock()
	return w.placement, w.err
}

// add adds a waiter, and starts the decisions if none waited before.
func (l *lines) add(w *waiter, now time.Time) {
	l.mu.Lock()
	service := w.x.service.Name
	q := l.queues[service]
	if q == nil {
		q = queuer.New[*waiter](l.forwarder.Waiting)
		l.queues[service] = q
	}
	var rejected []*queuer.Waiter[*waiter]
	w.item, rejected = q.Add(w.x.request(now), w, now)
	l.publish(service)
	if !l.running {
		l.running = true
		go l.run()
	}
	l.mu.Unlock()
	for _, r := range rejected {
		r.Value.finish(placement{}, errOverflow)
	}
}

// remove removes a waiter. The queue of a service that has vanished is gone once it is empty.
func (l *lines) remove(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.queues[w.x.service.Name]; q != nil {
		q.Remove(w.item)
		l.publish(w.x.service.Name)
	}
}

// publish tells other entries which ranks wait for a service, if it has any. The caller
// holds the lock.
func (l *lines) publish(service viewer.ServiceName) {
	c := l.forwarder.Viewer.Load().Configuration
	if _, differ := c.Ranks(service); !differ {
		l.forwarder.Board.SetOwn(service, nil)
		return
	}
	l.forwarder.Board.SetOwn(service, l.queues[service].Counts())
}

// notify says that room may have become free.
func (l *lines) notify() {
	select {
	case l.wake <- struct{}{}:
	default: // a signal is already pending
	}
}

// run decides on the waiting requests when room may have become free, and at least every
// sweepInterval, until none waits.
func (l *lines) run() {
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-l.wake:
		case <-l.forwarder.Board.Heard():
		}
		if !l.sweepAll(time.Now()) {
			return
		}
		time.Sleep(minSweepGap)
		timer.Reset(sweepInterval - minSweepGap)
	}
}

// sweepAll decides on the requests of each service. It reports false if none waits any more;
// the caller must end then.
func (l *lines) sweepAll(now time.Time) bool {
	for _, service := range l.services() {
		l.sweep(service, now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, q := range l.queues {
		if q.Len() > 0 {
			return true
		}
		if l.forwarder.Viewer.Load().Configuration.Services[service] == nil {
			delete(l.queues, service)
			delete(l.ranked, service)
		}
	}
	l.running = false
	return false
}

// services returns the services for which requests wait.
func (l *lines) services() []viewer.ServiceName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []viewer.ServiceName
	for service, q := range l.queues {
		if q.Len() > 0 {
			names = append(names, service)
		}
	}
	return names
}

// sweep decides on the requests that wait for a service.
func (l *lines) sweep(service viewer.ServiceName, now time.Time) {
	l.rerank(service, now)
	l.dismiss(service)
	l.mu.Lock()
	q := l.queues[service]
	expired := q.Expired(now)
	s := q.Sweep(now)
	l.mu.Unlock()
	for _, w := range expired {
		w.Value.finish(placement{}, errTooLong)
	}
	for w := s.Next(); w != nil; w = s.Next() {
		if w.Value.decide() {
			l.remove(w.Value)
			l.mu.Lock()
			if w.Value.err == nil {
				s.Placed()
			}
			l.mu.Unlock()
			continue
		}
		l.mu.Lock()
		q.Update(w, w.Value.request(now))
		s.Stop()
		l.mu.Unlock()
	}
}

// dismiss refuses those of the requests that wait for a service that a stopping process must
// not begin to serve, also behind others that it may.
func (l *lines) dismiss(service viewer.ServiceName) {
	if l.forwarder.Ends().IsZero() {
		return
	}
	l.mu.Lock()
	all := l.queues[service].Waiters()
	l.mu.Unlock()
	for _, w := range all {
		if w.Value.dismiss() {
			l.remove(w.Value)
		}
	}
}

// rerank ranks the requests that wait for a service by the newest configuration, if that
// has changed.
func (l *lines) rerank(service viewer.ServiceName, now time.Time) {
	c := l.forwarder.Viewer.Load().Configuration
	l.mu.Lock()
	q := l.queues[service]
	all := q.Waiters()
	changed := l.ranked[service] != c
	l.ranked[service] = c
	l.mu.Unlock()
	if !changed {
		return
	}
	for _, w := range all {
		r := w.Value.request(now)
		l.mu.Lock()
		q.Update(w, r)
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish(service)
}

// ahead returns the number of waiting requests that go before a new one.
func (l *lines) ahead(x *exchange, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[x.service.Name]
	if q == nil {
		return 0
	}
	return q.Ahead(x.request(now), now)
}

// request returns what the queue knows of the request of a waiter, by the newest
// configuration.
func (w *waiter) request(now time.Time) queuer.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.decided {
		return w.item.Request // its exchange has gone on
	}
	w.x.view = w.x.current()
	w.x.setRank()
	return w.x.request(now)
}

// decide tries to place the request, and reports whether it has left the queue.
func (w *waiter) decide() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.decided {
		return true
	}
	p, err := w.x.place(time.Now())
	if errors.Is(err, errWait) {
		w.x.alone = errors.Is(err, errWaitAlone)
		return false
	}
	w.decided, w.placement, w.err = true, p, err
	close(w.done)
	return true
}

// dismiss refuses the request if a stopping process must not begin to serve it, and reports
// whether it did.
func (w *waiter) dismiss() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.decided || !w.x.isTooLate() {
		return false
	}
	w.decided, w.err = true, errStopping
	close(w.done)
	return true
}

// finish ends the wait with a result, unless it has ended.
func (w *waiter) finish(p placement, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.decided {
		return
	}
	w.decided, w.placement, w.err = true, p, err
	close(w.done)
}

// RecordWaiting sets the metrics of the requests that wait: their number by rank, their
// size in bytes and the age of the oldest.
func (f *Forwarder) RecordWaiting(now time.Time) {
	l := f.lines
	l.mu.Lock()
	defer l.mu.Unlock()
	number := make(map[int]int64, len(l.seen))
	for rank := range l.seen {
		number[rank] = 0
	}
	bytes, oldest := 0, now
	for _, q := range l.queues {
		bytes += q.Bytes()
		for _, c := range q.Counts() {
			l.seen[c.Rank] = true
			number[c.Rank] += int64(c.Number)
			if c.Oldest.Before(oldest) {
				oldest = c.Oldest
			}
		}
	}
	for rank, n := range number {
		f.Meter.Set(fmt.Sprint("waiting_rank_", rank), n)
	}
	f.Meter.Set("waiting_bytes", int64(bytes))
	f.Meter.Set("waiting_oldest_ms", now.Sub(oldest).Milliseconds())
}
