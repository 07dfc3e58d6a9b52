package director

import (
	"fmt"
	"io"
	"math"
	"time"
)

// maxLoggedSpeeds is the number of servers whose change of speed is logged per
// expireInterval.
const maxLoggedSpeeds = 16

// hundredths is the factor from a slowdown to the unit of its metric.
const hundredths = 100

// logSpeeds logs which backend servers have become slow, or normal again, and drops expired
// estimates.
func (d *Director) logSpeeds(now time.Time) {
	d.gauger.Expire(now)
	changes, slow := d.gauger.Changes(d.viewer.Load().Servers, now)
	d.meter.Set("slow_servers", int64(slow))
	for i, c := range changes {
		event := "server-slow"
		if c.Slowdown <= 1 {
			event = "server-normal"
		}
		if i >= maxLoggedSpeeds {
			continue
		}
		d.config.Log.Info().Str("event", event).Str("server", string(c.Run.Server)).Int64("born", c.Run.StartMillis).
			Float64("slowdown", math.Round(hundredths*c.Slowdown)/hundredths).Float64("samples", math.Round(c.Samples)).Int("entries", c.Entries).Msg("")
	}
}

// writeSpeeds writes a metric for each backend server that is slow.
func (d *Director) writeSpeeds(w io.Writer) {
	for server, slowdown := range d.gauger.Slow() {
		fmt.Fprintf(w, "slowdown_hundredths_%s %.0f\n", server, hundredths*slowdown)
	}
}
