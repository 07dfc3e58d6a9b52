package gossiper

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bamboohill/wire"
)

// Timeouts of a roster.
const (
	silenceTimeout = 5 * time.Second  // without a message until a member is suspected
	forgetAfter    = time.Minute      // dead until a member is removed
	firstHold      = 2 * time.Second  // of a member that returns for the first time
	maxHold        = 30 * time.Second // of a member that returns again and again
	flapReset      = time.Minute      // without a return until the flap count is reset
)

// sampleSize is the number of members in one greeting.
const sampleSize = 16

// member is the state of one other entry.
type member struct {
	address     string
	boot        uint64
	lastSeen    time.Time // last message to any entry; zero if there was none
	lastFailure time.Time // last failed greeting from this entry since lastSeen; zero if none
	leaving     bool
	permanent   bool      // in the settings or the list of VMs: never removed
	deadSince   time.Time // zero if it is not dead
	flaps       int
	heldUntil   time.Time // not live before this time
}

// roster is the set of other entries. It has no clock and is not safe for
// concurrent use.
type roster struct {
	self string
	all  map[string]*member
}

func newRoster(self string) *roster { return &roster{self: self, all: map[string]*member{}} }

// add returns the member with an address and creates it if it is missing. It
// returns nil for the own address. A permanent member is never removed.
func (r *roster) add(address string, permanent bool) *member {
	if address == "" || address == r.self {
		return nil
	}
	m, found := r.all[address]
	if !found {
		m = &member{address: address}
		r.all[address] = m
	}
	m.permanent = m.permanent || permanent
	return m
}

// setPermanent replaces the set of addresses that are never removed.
func (r *roster) setPermanent(addresses []string) {
	for _, m := range r.all {
		m.permanent = false
	}
	for _, a := range addresses {
		r.add(a, true)
	}
}

// record applies a report that a member sent a message at a time. It ignores
// reports of an older boot or an older message. A report of a newer boot ends the
// leaving state. It reports whether the member was dead and is alive again.
func (r *roster) record(w *wire.Member, at, now time.Time) bool {
	m := r.add(w.GetAddress(), false)
	if m == nil || !m.isNewer(w.GetBoot(), at) {
		return false
	}
	returned := !m.deadSince.IsZero()
	if w.GetBoot() != m.boot {
		m.leaving = false
	}
	m.boot = w.GetBoot()
	m.leaving = m.leaving || w.GetLeaving()
	if !at.After(m.lastSeen) {
		return false
	}
	m.lastSeen = at
	if now.Sub(at) > silenceTimeout {
		return false
	}
	m.deadSince = time.Time{}
	m.lastFailure = time.Time{}
	if returned {
		m.hold(now)
	}
	return returned
}

// isNewer reports whether a message of a boot at a time is newer than the known
// state. An older boot is accepted once the member is dead, as a replacement VM
// whose clock is behind that of its predecessor starts with a lower number.
func (m *member) isNewer(boot uint64, at time.Time) bool {
	if boot == m.boot {
		return at.After(m.lastSeen)
	}
	return boot > m.boot || !m.deadSince.IsZero() && at.After(m.lastSeen)
}

// hold excludes a member that has returned from the live ones for a time that
// doubles with each return, from firstHold up to maxHold.
func (m *member) hold(now time.Time) {
	if now.Sub(m.heldUntil) > flapReset {
		m.flaps = 0
	}
	m.heldUntil = now.Add(min(firstHold<<min(m.flaps, 5), maxHold))
	m.flaps++
}

// recordFailure records that a greeting from this entry failed.
func (r *roster) recordFailure(address string, now time.Time) {
	if m := r.all[address]; m != nil {
		m.lastFailure = now
	}
}

// updateDead marks the members that are dead and removes those that have been
// dead for forgetAfter. While more than half of the members are dead it removes
// none, as this entry may be the one that is partitioned off. It returns the
// members that are newly dead.
func (r *roster) updateDead(now time.Time) []string {
	var newlyDead []string
	dead := 0
	for _, m := range r.all {
		silent := now.Sub(m.lastSeen) > silenceTimeout
		if silent && !m.lastFailure.IsZero() && m.deadSince.IsZero() {
			m.deadSince = now
			newlyDead = append(newlyDead, m.address)
		}
		if !m.deadSince.IsZero() {
			dead++
		}
	}
	if 2*dead > len(r.all) {
		return newlyDead
	}
	for address, m := range r.all {
		if !m.permanent && !m.deadSince.IsZero() && now.Sub(m.deadSince) > forgetAfter {
			delete(r.all, address)
		}
	}
	return newlyDead
}

func (m *member) live(now time.Time) bool {
	return !m.lastSeen.IsZero() && m.deadSince.IsZero() && !m.leaving && !now.Before(m.heldUntil)
}

// live returns the addresses of the live members, sorted.
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

// known returns the addresses of all members, sorted.
func (r *roster) known() []string {
	var all []string
	for address := range r.all {
		all = append(all, address)
	}
	slices.Sort(all)
	return all
}

// targets selects at most n members to greet. Half of them are those without
// contact for the longest time, so that a silent member is soon confirmed alive
// or dead; the others are random.
func (r *roster) targets(n int, random *rand.Rand) []string {
	all := r.known()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	oldest := slices.Clone(all)
	slices.SortStableFunc(oldest, func(a, b string) int { return r.lastContact(a).Compare(r.lastContact(b)) })
	picked := oldest[:min(n/2, len(oldest))]
	for _, a := range all {
		if len(picked) < n && !slices.Contains(picked, a) {
			picked = append(picked, a)
		}
	}
	return picked
}

// lastContact returns the time of the last message from a member or of the last
// failed greeting to it.
func (r *roster) lastContact(address string) time.Time {
	m := r.all[address]
	if m.lastFailure.After(m.lastSeen) {
		return m.lastFailure
	}
	return m.lastSeen
}

// sample returns at most n members for a greeting, selected at random from those
// that are not dead.
func (r *roster) sample(n int, now time.Time, random *rand.Rand) []*wire.Member {
	var all []*wire.Member
	for _, m := range r.all {
		if !m.lastSeen.IsZero() && m.deadSince.IsZero() {
			all = append(all, &wire.Member{Address: m.address, Boot: m.boot, AgeMs: now.Sub(m.lastSeen).Milliseconds(), Leaving: m.leaving})
		}
	}
	slices.SortFunc(all, func(a, b *wire.Member) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
