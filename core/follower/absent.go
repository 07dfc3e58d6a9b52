package follower

import "time"

// absentDue returns when the rows that are withheld because the store has none count as
// deleted, unless the table has them then. It is zero if there are none, or if the last
// call failed: other processes may not reach the store either. The caller holds the lock.
func (f *Follower) absentDue() time.Time {
	if f.config.SettleAbsent <= 0 || f.era.settled || f.era.absent == 0 || f.era.answers.IsZero() {
		return time.Time{}
	}
	return f.era.answers.Add(f.config.SettleAbsent)
}

// untilAbsentDue returns d, or the time until absentDue or Config.Wait if that is shorter:
// until then a silence of the store must be noticed. The caller holds the lock.
func (f *Follower) untilAbsentDue(d time.Duration) time.Duration {
	if due := f.absentDue(); !due.IsZero() {
		return max(0, min(d, f.config.Wait, time.Until(due)))
	}
	return d
}

// recordAnswer records that the store has answered a call. The caller holds the lock.
func (f *Follower) recordAnswer(now time.Time) {
	if f.era.answers.IsZero() {
		f.era.answers = now
	}
}

// settleAbsent deletes rows that are absent from the whole table of a call that began at
// the given time, if that is late enough. They count as written in this era, so that those
// of a process that still withholds them do not come back. As long as the table has no rows,
// the writers may not reach the store, and the time begins anew. The caller holds the lock.
func (f *Follower) settleAbsent(absent []Row, present bool, at Position, began time.Time) {
	f.era.absent = len(absent)
	due := f.absentDue()
	if due.IsZero() || began.Before(due) {
		return
	}
	if !present {
		f.era.answers = time.Now()
		return
	}
	f.era.absent = 0
	deleted := 0
	for _, r := range absent {
		if f.config.Keeps != nil && f.config.Keeps(r) {
			continue
		}
		f.set(Row{Key: r.Key, Deleted: true, Era: at.Era, Version: at.Version, Written: true})
		deleted++
	}
	f.config.Log.Info().Str("event", "absent-settled").Str("table", f.config.Table).Int64("era", at.Era).Int("absent", len(absent)).Int("deleted", deleted).Msg("")
}
