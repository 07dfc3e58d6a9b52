package follower

import "time"

// era is the state of a copy within an era of the store. It settles when other processes
// have had time to write again what the store lost. Until then a row of the store may be
// older than the copy from an earlier era, which is kept then.
type era struct {
	number   int64
	settles  time.Time // when the store has everything again
	settled  bool      // the store's rows are taken as they are
	withheld int       // rows that were withheld, at least
	answers  time.Time // since when the store has answered each call; zero if the last one failed or none was made
	absent   int       // rows withheld as the store has none, since the table was last read
	read     bool      // the whole table has been read in this era
	start    int64     // version at which it was first read; later ones were written in this era
	kept     int64     // largest version that the store is known to have kept
	before   int64     // version up to which the table was read before this era
}

// enter begins an era if it is later than that of the copy.
func (f *Follower) enter(number int64, now time.Time) {
	if number <= f.era.number && !f.era.settles.IsZero() {
		return
	}
	if !f.era.settles.IsZero() {
		f.config.Log.Warn().Str("event", "store-returned").Str("table", f.config.Table).Int64("era", number).Int64("before", f.era.number).
			Int64("version", f.newest).Msg("")
		f.wake()
	}
	before := f.era.before
	if f.era.read {
		before = f.position.Version
	}
	f.era = era{number: number, settles: now.Add(f.config.Settle), before: before}
	f.newest, f.position = 0, Position{}
}

// mustReread reports whether the whole table has to be read: in a new era, and when it
// has settled and rows were withheld.
func (f *Follower) mustReread(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.era.read {
		return true
	}
	if due := f.absentDue(); !due.IsZero() && !now.Before(due) {
		return true
	}
	if f.era.settled || now.Before(f.era.settles) {
		return false
	}
	if f.era.withheld == 0 {
		f.era.settled = true
		return false
	}
	f.config.Log.Info().Str("event", "store-settled").Str("table", f.config.Table).Int64("era", f.era.number).Int("withheld", f.era.withheld).Msg("")
	return true
}

// untilSettled returns d, or the time until the table must be read again as the store has
// settled, if rows are withheld until then. The caller holds the lock.
func (f *Follower) untilSettled(d time.Duration) time.Duration {
	if f.era.settled || f.era.withheld == 0 {
		return d
	}
	return max(0, min(d, time.Until(f.era.settles)))
}

// accepts reports whether a row of the store or of another process replaces its copy.
func (f *Follower) accepts(r Row, fromStore bool) bool {
	old, found := f.rows[r.Key]
	switch {
	case r.Era < f.era.number && f.era.settled:
		return false
	case !found && r.Era == f.era.number && !f.era.settled && !r.Written && r.Version <= f.era.before:
		// The table was read later than this version, and the row was not there anymore.
		return !f.withhold(!f.prefers(Row{Key: r.Key, Deleted: true}, r))
	case !found && r.Era == f.era.number:
		// The store has no row up to the position that is not in the copy.
		return fromStore || !f.era.read || r.Version > f.position.Version
	case !found:
		lacks := f.withhold(r.Version > f.era.start)
		if lacks && !r.Deleted {
			f.era.absent++
		}
		return lacks
	case r.Era == old.Era:
		return r.Version > old.Version
	case r.Era > old.Era:
		return f.era.settled || !f.withhold(f.outlives(old, r))
	}
	return f.withhold(f.outlives(r, old))
}

// outlives reports whether a row of an earlier era is kept beside the same row of a
// later one, which may be that of the copy from which the store returned.
func (f *Follower) outlives(earlier, later Row) bool {
	return !later.Written && later.Version < earlier.Version && !f.prefers(earlier, later)
}

// prefers reports whether a row replaces its copy of an earlier era even if it may be older.
func (f *Follower) prefers(copied, row Row) bool {
	return f.config.Prefers != nil && f.config.Prefers(copied, row)
}

// withhold counts a row of the store that is withheld, and returns its argument.
func (f *Follower) withhold(withheld bool) bool {
	if withheld {
		f.era.withheld++
	}
	return withheld
}
