package partitioner

import "time"

// Times for which an entry adopts a new number of cells at once, and for which the number has
// to hold later.
const (
	startTime  = 5 * time.Second
	settleTime = 15 * time.Second
)

// Divider keeps the number of cells of one entry steady while engines are replaced: a rolling
// change may start a third more of them before it ends the old ones. Entries whose numbers
// differ don't hear of all placements at the engines that they share. The zero value is ready for
// use. It reads no clock and is not safe for concurrent use.
type Divider struct {
	cells   int // 0 before the first call
	started time.Time
	next    int // a number that has held since a time; 0 if it is that of cells
	since   time.Time
}

// Divide returns the number of cells for the numbers of entries and engines that the entry knows.
// It is that of Count soon after the first call, and after a time for which Count has returned it.
func (d *Divider) Divide(entries, engines int, now time.Time) int {
	if d.cells == 0 {
		d.started = now
	}
	n := Count(entries, engines)
	switch {
	case now.Sub(d.started) < startTime || n == d.cells:
		d.cells, d.next = n, 0
	case n != d.next:
		d.next, d.since = n, now
	case now.Sub(d.since) >= settleTime:
		d.cells, d.next = n, 0
	}
	return d.cells
}
