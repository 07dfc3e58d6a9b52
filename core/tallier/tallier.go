package tallier

import (
	"container/list"
	"sync"
)

// Kind is what holds bytes.
type Kind int

// Kinds of holders.
const (
	Bodies  Kind = iota // bodies of requests
	Answers             // answers that are read as a whole before they are sent
	Unread              // parts of answers that their callers have not taken yet
	kinds
)

var kindNames = [kinds]string{"bodies", "answers", "unread"}

func (k Kind) String() string { return kindNames[k] }

// softShare is the soft bound as a fraction of the hard one. The rest is for accounts that
// hold less than an equal share, and for bodies: callers that read nothing can't keep out
// new work.
const softShare = 0.75

// serverShare is the bound of the bytes that one backend server has not taken, as a fraction
// of the hard bound, so that a few servers that read slowly hold a small part of it.
const serverShare = 1.0 / 64

// Config describes a Tallier.
type Config struct {
	Bound int64 // hard bound of all bytes held; no bound if 0
}

// Tallier keeps account of bytes held. It is safe for concurrent use.
type Tallier struct {
	hard, soft, server int64

	mu       sync.Mutex
	total    int64
	byKind   [kinds]int64
	accounts map[string]int64 // bytes by account, for those that hold any
	servers  map[string]int64 // bytes that are not taken yet, by backend server
	stalled  list.List        // of *Share; the front has made no progress for the longest time
	refused  int64
	evicted  int64
}

// New returns a tallier that holds nothing.
func New(config Config) *Tallier {
	return &Tallier{
		hard: config.Bound, soft: int64(softShare * float64(config.Bound)), server: int64(serverShare * float64(config.Bound)),
		accounts: map[string]int64{}, servers: map[string]int64{},
	}
}

// Share is what one request or connection holds. Its methods are safe for concurrent use.
type Share struct {
	tallier *Tallier
	account string
	kind    Kind
	evict   func()        // called once, without locks, when the share gives way
	bytes   int64         // 0 after the eviction
	gone    bool          // evicted or closed
	element *list.Element // in Tallier.stalled, if the share may give way
}

// Open returns a share of an account that holds nothing and never gives way.
func (t *Tallier) Open(account string, kind Kind) *Share {
	return &Share{tallier: t, account: account, kind: kind}
}

// OpenEvictable returns a share that gives way at the hard bound: evict is called, from
// the goroutine that needs the bytes. The share counts as stalled as long as it holds any.
func (t *Tallier) OpenEvictable(account string, kind Kind, evict func()) *Share {
	return &Share{tallier: t, account: account, kind: kind, evict: evict}
}

// Reserve adds n bytes of new work and reports whether the bounds allow it. If they don't,
// nothing is added.
func (s *Share) Reserve(n int64) bool {
	t := s.tallier
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.admits(s.account, n) {
		t.refused++
		return false
	}
	s.add(n)
	return true
}

// admits reports whether an account may begin work of n bytes. The caller holds the lock.
func (t *Tallier) admits(account string, n int64) bool {
	if t.hard <= 0 || t.total+n <= t.soft {
		return true
	}
	if t.total+n <= t.hard && t.byKind[Bodies]+n <= t.hard-t.soft {
		return true
	}
	held := t.accounts[account]
	holders := int64(len(t.accounts))
	if held == 0 {
		holders++
	}
	return t.total+n <= t.hard && held+n <= t.soft/holders
}

// Extend adds n bytes of work under way. At the hard bound, or if answers hold more than the
// soft bound, stalled shares give way, that
// without progress for the longest time first. It reports false, and adds nothing, if the
// share itself has given way or nothing is left that can.
func (s *Share) Extend(n int64) bool {
	t := s.tallier
	t.mu.Lock()
	var victims []*Share
	for !s.gone && !t.hasRoom(n) && t.stalled.Len() > 0 {
		v := t.stalled.Front().Value.(*Share) //nolint:forcetypeassert // the list holds nothing else
		v.drop()
		t.evicted++
		victims = append(victims, v)
	}
	ok := !s.gone && t.hasRoom(n)
	if ok {
		s.add(n)
	}
	t.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return ok
}

// hasRoom reports whether work under way may hold n more bytes. The caller holds the lock.
func (t *Tallier) hasRoom(n int64) bool {
	return t.hard <= 0 || t.total+n <= t.hard && t.total-t.byKind[Bodies]+n <= t.soft
}

// Release removes n bytes, which the caller has taken or which are no longer needed. It
// counts as progress of the share.
func (s *Share) Release(n int64) {
	s.tallier.mu.Lock()
	defer s.tallier.mu.Unlock()
	if s.gone {
		return
	}
	s.add(-min(n, s.bytes))
	if s.element != nil {
		s.tallier.stalled.MoveToBack(s.element)
	}
}

// Close releases all bytes. The share must not be used any more.
func (s *Share) Close() {
	s.tallier.mu.Lock()
	defer s.tallier.mu.Unlock()
	s.drop()
}

// drop releases all bytes for good. The caller holds the lock.
func (s *Share) drop() {
	s.add(-s.bytes)
	s.gone = true
}

// add adds n bytes, which may be negative. The caller holds the lock.
func (s *Share) add(n int64) {
	t := s.tallier
	s.bytes += n
	t.total += n
	t.byKind[s.kind] += n
	if t.accounts[s.account] += n; t.accounts[s.account] == 0 {
		delete(t.accounts, s.account)
	}
	switch {
	case s.evict == nil:
	case s.bytes > 0 && s.element == nil:
		s.element = t.stalled.PushBack(s)
	case s.bytes == 0 && s.element != nil:
		t.stalled.Remove(s.element)
		s.element = nil
	}
}

// Counts are the bytes held and the decisions so far.
type Counts struct {
	ByKind  map[Kind]int64
	Stalled int   // answers with bytes that their callers have not taken
	Waiting int64 // bytes that backend servers have not taken
	Refused int64 // new work refused at a bound
	Evicted int64 // answers that gave way at the hard bound
}

// Counts returns the counts.
func (t *Tallier) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{ByKind: map[Kind]int64{}, Stalled: t.stalled.Len(), Refused: t.refused, Evicted: t.evicted}
	for k, n := range t.byKind {
		c.ByKind[Kind(k)] = n
	}
	for _, n := range t.servers {
		c.Waiting += n
	}
	return c
}
