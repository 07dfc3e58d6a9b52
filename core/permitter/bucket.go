package permitter

import (
	"slices"
	"time"
)

// Parameters of the allocation of a limit. In any four seconds a server with a limit of r
// per second gets at most allocatedShare * r * (4 s + permitLifetime) + maxTokens requests.
const (
	allocatedShare = 0.93
	maxTokens      = 2.0                    // unused permits that a bucket keeps
	permitLifetime = 200 * time.Millisecond // from the receipt of a permit until it expires
	claimLifetime  = 800 * time.Millisecond // after which a demand that is not repeated ends
	// grantTransit is the age up to which a grant may not have reached an entry when that
	// sent its demand.
	grantTransit = 30 * time.Millisecond
)

// bucket allocates the limit of one server among the entries that demand permits. The
// zero value has no permits.
type bucket struct {
	tokens float64
	filled time.Time // when tokens was last computed
	claims []claim   // in the order in which they get permits
}

// claim is the demand of one entry.
type claim struct {
	entry   string
	wanted  int
	expires time.Time
	recent  []time.Time // when permits were granted, within grantTransit
}

// fill adds the permits that have become available at a rate per second.
func (b *bucket) fill(rate float64, now time.Time) {
	if !b.filled.IsZero() {
		b.tokens = min(maxTokens, b.tokens+rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
}

// claim replaces the demand of an entry, which has not received the permits that were
// granted to it within transit.
func (b *bucket) claim(entry string, wanted, returned int, transit time.Duration, now time.Time) {
	b.tokens = min(maxTokens, b.tokens+float64(returned))
	i := slices.IndexFunc(b.claims, func(c claim) bool { return c.entry == entry })
	switch {
	case wanted <= 0 && i >= 0:
		b.claims = slices.Delete(b.claims, i, i+1)
	case wanted <= 0:
	case i < 0:
		b.claims = append(b.claims, claim{entry: entry, wanted: wanted, expires: now.Add(claimLifetime)})
	default:
		c := &b.claims[i]
		c.recent = slices.DeleteFunc(c.recent, func(at time.Time) bool { return now.Sub(at) >= transit })
		c.wanted, c.expires = max(0, wanted-len(c.recent)), now.Add(claimLifetime)
	}
}

// grants distributes the available permits among the claims in turn, one at a time, and
// returns the number for each entry.
func (b *bucket) grants(now time.Time) map[string]int {
	b.claims = slices.DeleteFunc(b.claims, func(c claim) bool { return !now.Before(c.expires) })
	granted := map[string]int{}
	for b.tokens >= 1 && len(b.claims) > 0 {
		i := slices.IndexFunc(b.claims, func(c claim) bool { return c.wanted > 0 })
		if i < 0 {
			break
		}
		c := b.claims[i]
		b.tokens--
		granted[c.entry]++
		c.wanted--
		c.recent = append(c.recent, now)
		b.claims = append(slices.Delete(b.claims, i, i+1), c)
	}
	return granted
}

// waiting returns the number of permits that are wanted, and that of the entries that
// want them.
func (b *bucket) waiting() (permits, entries int) {
	for _, c := range b.claims {
		permits += c.wanted
		if c.wanted > 0 {
			entries++
		}
	}
	return permits, entries
}

// turn returns after how many permits an entry gets its next one: the number of entries
// that want one and come before it, and one.
func (b *bucket) turn(entry string) int {
	n := 1
	for _, c := range b.claims {
		if c.entry == entry {
			break
		}
		if c.wanted > 0 {
			n++
		}
	}
	return n
}
