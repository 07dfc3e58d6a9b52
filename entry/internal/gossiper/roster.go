package gossiper

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bamboohill/wire"
)

// Times of a roster.
const (
	silenceAfter = 5 * time.Second  // unheard until a member is suspected
	forgetAfter  = time.Minute      // gone until a member is forgotten
	holdFirst    = 2 * time.Second  // a member that comes back waits, first time
	holdLongest  = 30 * time.Second // and at the most
	calmAfter    = time.Minute      // without a return until flaps are forgiven
)

// sampleSize is how many members one greeting carries.
const sampleSize = 16

// member is one other entry.
type member struct {
	address string
	boot    uint64
	heard   time.Time // by anybody; zero if never
	failed  time.Time // last greeting of ours that failed since it was heard
	leaving bool
	fixed   bool      // named by settings or the list of VMs: never forgotten
	gone    time.Time // since when it is silent and failed; zero if not
	flaps   int
	held    time.Time // not live before this
}

// roster is the set of other entries. It is a pure state: it has no clock and
// no lock.
type roster struct {
	self string
	all  map[string]*member
}

func newRoster(self string) *roster { return &roster{self: self, all: map[string]*member{}} }

// name makes an address known. A fixed one is never forgotten.
func (r *roster) name(address string, fixed bool) *member {
	if address == "" || address == r.self {
		return nil
	}
	m, found := r.all[address]
	if !found {
		m = &member{address: address}
		r.all[address] = m
	}
	m.fixed = m.fixed || fixed
	return m
}

// fix replaces the set of addresses that are never forgotten.
func (r *roster) fix(addresses []string) {
	for _, m := range r.all {
		m.fixed = false
	}
	for _, a := range addresses {
		r.name(a, true)
	}
}

// hear takes one report of a member that was heard at a time. A report of an
// older boot or an older hearing is dropped; one of a newer boot ends the
// member's leaving. It reports whether the member was gone and is back.
func (r *roster) hear(w *wire.Member, at, now time.Time) bool {
	m := r.name(w.GetAddress(), false)
	if m == nil || !m.newer(w.GetBoot(), at) {
		return false
	}
	back := !m.gone.IsZero()
	if w.GetBoot() != m.boot {
		m.leaving = false
	}
	m.boot = w.GetBoot()
	m.leaving = m.leaving || w.GetLeaving()
	if !at.After(m.heard) {
		return false
	}
	m.heard = at
	if now.Sub(at) > silenceAfter {
		return false
	}
	m.gone = time.Time{}
	m.failed = time.Time{}
	if back {
		m.hold(now)
	}
	return back
}

// newer reports whether a hearing of a boot at a time says more than what is
// known. An older boot counts once the member is gone: a VM whose clock is
// behind its predecessor's starts with a lower number.
func (m *member) newer(boot uint64, at time.Time) bool {
	if boot == m.boot {
		return at.After(m.heard)
	}
	return boot > m.boot || !m.gone.IsZero() && at.After(m.heard)
}

// hold keeps a member that came back out of the live ones for a while, longer
// each time.
func (m *member) hold(now time.Time) {
	if now.Sub(m.held) > calmAfter {
		m.flaps = 0
	}
	m.held = now.Add(min(holdFirst<<min(m.flaps, 5), holdLongest))
	m.flaps++
}

// fail notes that a greeting of ours got no answer.
func (r *roster) fail(address string, now time.Time) {
	if m := r.all[address]; m != nil {
		m.failed = now
	}
}

// judge marks the members that are gone and forgets those gone for long. While
// most members are gone at once this entry may be the one that is cut off, and
// nobody is forgotten. It returns who has just gone.
func (r *roster) judge(now time.Time) []string {
	var left []string
	gone := 0
	for _, m := range r.all {
		silent := now.Sub(m.heard) > silenceAfter
		if silent && !m.failed.IsZero() && m.gone.IsZero() {
			m.gone = now
			left = append(left, m.address)
		}
		if !m.gone.IsZero() {
			gone++
		}
	}
	if 2*gone > len(r.all) {
		return left
	}
	for address, m := range r.all {
		if !m.fixed && !m.gone.IsZero() && now.Sub(m.gone) > forgetAfter {
			delete(r.all, address)
		}
	}
	return left
}

func (m *member) live(now time.Time) bool {
	return !m.heard.IsZero() && m.gone.IsZero() && !m.leaving && !now.Before(m.held)
}

// live returns the members that serve, in order of address.
func (r *roster) live(now time.Time) []string {
	var all []string
	for address, m := range r.all {
		if m.live(now) {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// known returns every address, in order.
func (r *roster) known() []string {
	var all []string
	for address := range r.all {
		all = append(all, address)
	}
	slices.Sort(all)
	return all
}

// targets picks the members to greet: at most n, of which those that were
// silent the longest make up half, so that suspicion meets proof.
func (r *roster) targets(n int, random *rand.Rand) []string {
	all := r.known()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	quiet := slices.Clone(all)
	slices.SortStableFunc(quiet, func(a, b string) int { return r.last(a).Compare(r.last(b)) })
	picked := quiet[:min(n/2, len(quiet))]
	for _, a := range all {
		if len(picked) < n && !slices.Contains(picked, a) {
			picked = append(picked, a)
		}
	}
	return picked
}

// last returns when a member was heard or tried last.
func (r *roster) last(address string) time.Time {
	m := r.all[address]
	if m.failed.After(m.heard) {
		return m.failed
	}
	return m.heard
}

// sample returns at most n members for a greeting, drawn at random from those
// that are not gone.
func (r *roster) sample(n int, now time.Time, random *rand.Rand) []*wire.Member {
	var all []*wire.Member
	for _, m := range r.all {
		if !m.heard.IsZero() && m.gone.IsZero() {
			all = append(all, &wire.Member{Address: m.address, Boot: m.boot, AgeMs: now.Sub(m.heard).Milliseconds(), Leaving: m.leaving})
		}
	}
	slices.SortFunc(all, func(a, b *wire.Member) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
