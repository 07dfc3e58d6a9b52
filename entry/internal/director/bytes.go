package director

import (
	"context"
	"time"

	"bamboohill/core/tallier"
)

// Bound of the bytes that one caller may leave unread: as many as Linux itself holds for a
// connection by default, but no more than a part of the bound of all bytes.
const (
	maxUnread   = 4 << 20
	unreadShare = 1.0 / 8
)

// heldBound returns the bound of the bytes held for requests.
func (d *Director) heldBound() int64 {
	return int64(heldShare * float64(d.config.Settings.Memory<<20))
}

// unreadBound returns the bound of the bytes that one caller may leave unread.
func (d *Director) unreadBound() int {
	return int(min(maxUnread, unreadShare*float64(d.heldBound())))
}

// recordBytes sets the metrics of the bytes held for requests.
func (d *Director) recordBytes() {
	c := d.bytes.Counts()
	for kind, n := range c.ByKind {
		d.meter.Set("bytes_held_"+kind.String(), n)
	}
	d.meter.Set("bytes_waiting_servers", c.Waiting)
	d.meter.Set("bytes_refused", c.Refused)
	d.meter.Set("bytes_evicted", c.Evicted)
	d.meter.Set("stalled_callers", int64(c.Stalled))
}

// awaitCallers waits until callers have taken the ends of their answers, which may be kept
// after their requests have ended, or until ctx ends.
func (d *Director) awaitCallers(ctx context.Context) {
	tick := time.NewTicker(idleInterval)
	defer tick.Stop()
	for d.bytes.Counts().ByKind[tallier.Unread] > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
