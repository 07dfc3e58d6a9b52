package refresher

import (
	"sync"
	"time"

	"bamboohill/core/follower"

	"github.com/cespare/xxhash/v2"
)

// Copy is what an entry tells about its copy of the table.
type Copy struct {
	Newest follower.Position // largest version of the rows in the copy, and its era
	Age    time.Duration     // since the store last confirmed that there are no newer rows
}

// confirmed returns when the store last confirmed a copy that is told at the given time.
func (c Copy) confirmed(now time.Time) time.Time { return now.Add(-max(0, c.Age)) }

// Tells reports whether a copy that is told at the time now shows an answer of the store that
// is later than a given time.
func (c Copy) Tells(after, now time.Time) bool { return c.confirmed(now).After(after) }

// Config describes a Refresher.
type Config struct {
	Self string // name of this entry
	// Short is how long a read waits that must be confirmed by this entry alone, and
	// Interval the shortest time between the begins of two reads of an entry that is not a
	// sentinel.
	Short, Interval time.Duration
	// Limit is the largest age of a confirmation by another entry on which a read of this
	// entry waits longer than Short.
	Limit time.Duration
}

// Parameters of the choice of sentinels.
const (
	// sentinels is the number of entries that ask often. One suffices; a second one goes
	// on if it is killed.
	sentinels = 2
	// minEntries is the number of entries from which the sentinels and the long reads of
	// the others take fewer calls than Short reads of all.
	minEntries = 8
	// briefShare is the wait of a sentinel's read as a share of Limit. A confirmation is as
	// old as the begin of the read, so that at other entries it grows to twice that and the
	// time until the next datagram.
	briefShare = 1.0 / 3
	// longWait is the wait of other reads.
	longWait = 8 * time.Second
	// liveTime is the time for which an entry counts as live after its last message: four
	// of its longest intervals.
	liveTime = time.Second
)

// peer is what another entry has told.
type peer struct {
	newest    follower.Position
	confirmed time.Time // by the clock of this entry
	heard     time.Time
}

// Refresher holds what an entry knows about its own copy and those of others.
type Refresher struct {
	config Config

	mu        sync.Mutex
	position  follower.Position // of the last answer
	newest    follower.Position
	confirmed time.Time // begin of the last call that the store answered; zero if none was
	answered  time.Time // begin of the last call that the store is known to have answered to any entry; zero if none was
	peers     map[string]peer
	long      bool // the current read waits for longWait
}

// New returns a Refresher of an entry that has no copy yet.
func New(config Config) *Refresher { return &Refresher{config: config, peers: map[string]peer{}} }

// RecordAnswer records that the store has answered a read that began at the given time. at
// is the position of the answer, newest that of the newest row of the copy.
func (r *Refresher) RecordAnswer(at, newest follower.Position, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position, r.newest = at, newest
	if began.After(r.confirmed) {
		r.confirmed = began
	}
	r.recordAnswer(began)
}

// recordAnswer records that the store has answered a call of any entry that began at the
// given time. The caller holds the lock.
func (r *Refresher) recordAnswer(began time.Time) {
	if began.After(r.answered) {
		r.answered = began
	}
}

// Own returns what this entry tells. It reports false before the first answer.
func (r *Refresher) Own(now time.Time) (Copy, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Copy{Newest: r.newest, Age: now.Sub(r.confirmed)}, !r.confirmed.IsZero()
}

// ApplyPeer records what another entry tells.
func (r *Refresher) ApplyPeer(entry string, c Copy, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	confirmed := c.confirmed(now)
	r.peers[entry] = peer{newest: c.Newest, confirmed: confirmed, heard: now}
	r.recordAnswer(confirmed)
}

// Pace returns how long the next read may wait, and the shortest time from its begin to
// that of the one after it. It records that the read begins.
func (r *Refresher) Pace(now time.Time) (wait, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.long = false
	live, above := r.rank(now)
	switch {
	case live < minEntries:
		return r.config.Short, r.config.Interval
	case above < sentinels:
		brief := time.Duration(briefShare * float64(r.config.Limit))
		return brief, brief
	case now.Sub(r.confirmation()) > r.config.Limit:
		return r.config.Short, r.config.Interval
	}
	r.long = true
	return longWait, r.config.Interval
}

// Overdue reports whether a read that waits long must end, because no entry has a fresh
// confirmation that holds for this entry's copy.
func (r *Refresher) Overdue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.long && now.Sub(r.confirmation()) > r.config.Limit
}

// Relies reports whether this entry's last read waits, or waited, on the confirmations of
// others.
func (r *Refresher) Relies() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.long
}

// Confirmed returns when the store is last known to have confirmed this entry's copy, to
// whichever entry. It returns zero if it has confirmed none.
func (r *Refresher) Confirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmation()
}

// Answered returns when the store is last known to have answered, to whichever entry and
// whatever rows that entry knows: the begin of the call. Unlike Confirmed it tells nothing
// about this entry's copy. It returns zero if no answer is known.
func (r *Refresher) Answered() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

// confirmation returns the time of the last confirmation that holds for the copy: an entry
// whose newest row is not newer than the position of the last answer knows no row that the
// copy lacks. The caller holds the lock.
func (r *Refresher) confirmation() time.Time {
	last := r.confirmed
	for _, p := range r.peers {
		if p.newest.Era == r.position.Era && p.newest.Version <= r.position.Version && p.confirmed.After(last) {
			last = p.confirmed
		}
	}
	return last
}

// rank returns the number of live entries, this one included, and how many of them have a
// higher hash. It forgets the others. The caller holds the lock.
func (r *Refresher) rank(now time.Time) (live, above int) {
	live = 1
	own := xxhash.Sum64String(r.config.Self)
	for name, p := range r.peers {
		if now.Sub(p.heard) > liveTime {
			delete(r.peers, name)
			continue
		}
		live++
		if xxhash.Sum64String(name) > own {
			above++
		}
	}
	return live, above
}
