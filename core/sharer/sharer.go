package sharer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"

	"github.com/cespare/xxhash/v2"
)

// Hash identifies the name of an account or a service in a message.
type Hash uint32

// HashOf returns the hash of a name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Use is what one account has recently asked for and got of one service through one entry,
// in seconds of a backend server. The sums decay with the time constant window.
type Use struct {
	Service Hash
	Account Hash
	Demand  float64
	Placed  float64
	Short   bool // room of the service was short at that entry within shortTime
}

// Limits of the sums.
const (
	// window is the time constant of the sums: long enough to hold several requests of a
	// small account, short enough that a share is regained within seconds.
	window = 3 * time.Second
	// peerLifetime is the time for which the sums of another entry count after its last
	// message.
	peerLifetime = 1500 * time.Millisecond
	// maxAccounts is the number of accounts of a service that an entry keeps sums of,
	// those with the largest demand. The others count as within their share.
	maxAccounts = 512
	// maxTold is the number of sums that an entry tells, those with the largest demand.
	maxTold = 24
	// minDemand is the demand, in seconds of a backend server, below which a sum is
	// removed.
	minDemand = 1e-4
	// shortTime is the time for which room counts as short after a request waited or was
	// refused for lack of it.
	shortTime = time.Second
	// tellInterval is the shortest time between two messages with sums.
	tellInterval = 250 * time.Millisecond
	// heardTime is the time for which room counts as short after another entry said so:
	// until two of its messages were lost.
	heardTime = 3 * tellInterval
	// levelInterval is the time between two computations of the level of a service.
	levelInterval = 50 * time.Millisecond
)

// Sharer holds the sums of one entry and those that it was told. Use New.
type Sharer struct {
	mu       sync.Mutex
	services map[Hash]*service
	peers    map[string]peer
	told     time.Time // when Own last returned sums
}

// service is the state of one service.
type service struct {
	accounts map[Hash]*account
	short    time.Time // when a request last waited or was refused here for lack of room
	heard    time.Time // when another entry last said that room is short there
	level    float64   // max-min level of placed work
	computed time.Time
	totals   map[Hash]Use // by account, over all entries, when level was computed
}

// account holds the sums of one account as of updated.
type account struct {
	demand, placed float64
	updated        time.Time
}

type peer struct {
	uses     []Use
	received time.Time
}

// New returns a Sharer without any sums.
func New() *Sharer { return &Sharer{services: map[Hash]*service{}, peers: map[string]peer{}} }

// RecordDemand records that an account asks for work of a service, in seconds of a backend
// server. It is to be called once for each request.
func (s *Sharer) RecordDemand(name viewer.ServiceName, accountName string, work float64, now time.Time) {
	s.record(name, accountName, now, func(a *account) { a.demand += work })
}

// RecordUse records that work of an account was placed.
func (s *Sharer) RecordUse(name viewer.ServiceName, accountName string, work float64, now time.Time) {
	s.record(name, accountName, now, func(a *account) { a.placed += work })
}

func (s *Sharer) record(name viewer.ServiceName, accountName string, now time.Time, add func(*account)) {
	if accountName == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(HashOf(string(name)))
	hash := HashOf(accountName)
	a, found := v.accounts[hash]
	if !found {
		v.expire(now)
		a = &account{updated: now}
		v.accounts[hash] = a
	}
	a.decay(now)
	add(a)
}

// RecordShortage records that a request waits or is refused for lack of room.
func (s *Sharer) RecordShortage(name viewer.ServiceName, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(HashOf(string(name))).short = now
}

// service returns the state of a service. The caller holds the lock.
func (s *Sharer) service(key Hash) *service {
	v, found := s.services[key]
	if !found {
		v = &service{accounts: map[Hash]*account{}}
		s.services[key] = v
	}
	return v
}

// isShort reports whether room is short, here or as another entry told.
func (v *service) isShort(now time.Time) bool {
	return v.shortHere(now) || within(v.heard, heardTime, now)
}

func (v *service) shortHere(now time.Time) bool { return within(v.short, shortTime, now) }

// within reports whether a time is set and no longer ago than the given duration.
func within(at time.Time, d time.Duration, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= d
}

// decay brings the sums of an account up to now.
func (a *account) decay(now time.Time) {
	f := remaining(now.Sub(a.updated))
	a.demand, a.placed, a.updated = f*a.demand, f*a.placed, now
}

// expire removes the accounts without recent demand and, if there are still too many, the
// one with the smallest demand.
func (v *service) expire(now time.Time) {
	if len(v.accounts) < maxAccounts {
		return
	}
	var smallest Hash
	least := -1.0
	for hash, a := range v.accounts {
		a.decay(now)
		if a.demand < minDemand {
			delete(v.accounts, hash)
			continue
		}
		if least < 0 || a.demand < least {
			smallest, least = hash, a.demand
		}
	}
	if len(v.accounts) >= maxAccounts {
		delete(v.accounts, smallest)
	}
}

// Share returns what an account has got of a service relative to its share, 0 while room
// is not short.
func (s *Sharer) Share(name viewer.ServiceName, accountName string, now time.Time) float64 {
	if accountName == "" {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := HashOf(string(name))
	v, found := s.services[key]
	if !found || !v.isShort(now) {
		return 0
	}
	s.computeLevel(key, v, now)
	if v.level <= 0 {
		return 0
	}
	return v.totals[HashOf(accountName)].Placed / v.level
}

// computeLevel updates the totals and the level of a service, at most once per
// levelInterval.
func (s *Sharer) computeLevel(key Hash, v *service, now time.Time) {
	if age := now.Sub(v.computed); v.totals != nil && age >= 0 && age < levelInterval {
		return
	}
	v.computed = now
	v.totals = make(map[Hash]Use, len(v.accounts))
	for hash, a := range v.accounts {
		a.decay(now)
		if a.demand < minDemand {
			delete(v.accounts, hash)
			continue
		}
		v.totals[hash] = Use{Demand: a.demand, Placed: a.placed}
	}
	for name, p := range s.peers {
		age := now.Sub(p.received)
		if age > peerLifetime {
			delete(s.peers, name)
			continue
		}
		f := remaining(age)
		for _, u := range p.uses {
			if u.Service != key {
				continue
			}
			t := v.totals[u.Account]
			t.Demand += f * u.Demand
			t.Placed += f * u.Placed
			v.totals[u.Account] = t
		}
	}
	demands := make([]float64, 0, len(v.totals))
	placed := 0.0
	for _, t := range v.totals {
		demands = append(demands, max(t.Demand, t.Placed))
		placed += t.Placed
	}
	v.level = Level(demands, placed)
}

// Level returns the max-min level of a capacity: the largest amount such that the sum of
// the demands, each cut to that amount, does not exceed the capacity. It returns the
// largest demand if the capacity suffices for all, and 0 without demands.
func Level(demands []float64, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	for i, d := range sorted {
		if equal := capacity / float64(len(sorted)-i); d > equal {
			return max(0, equal)
		}
		capacity -= d
	}
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)-1]
}

// Own returns the sums of this entry for a message to the others, those with the largest
// demand first. It returns those of services whose room is short, here or as others told,
// and none within tellInterval after it last returned some.
func (s *Sharer) Own(now time.Time) []Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	if within(s.told, tellInterval-1, now) {
		return nil
	}
	var uses []Use
	for key, v := range s.services {
		if !v.isShort(now) {
			continue
		}
		short := v.shortHere(now)
		for hash, a := range v.accounts {
			a.decay(now)
			uses = append(uses, Use{Service: key, Account: hash, Demand: a.demand, Placed: a.placed, Short: short})
		}
	}
	if len(uses) == 0 {
		return nil
	}
	s.told = now
	slices.SortFunc(uses, func(a, b Use) int { return cmp.Compare(b.Demand, a.Demand) })
	return uses[:min(len(uses), maxTold)]
}

// ApplyPeer replaces the sums of another entry. Without sums it changes nothing: an entry tells
// them in some of its messages only.
func (s *Sharer) ApplyPeer(entry string, uses []Use, now time.Time) {
	if len(uses) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[entry] = peer{uses: uses, received: now}
	for _, u := range uses {
		if u.Short {
			s.service(u.Service).heard = now
		}
	}
}
