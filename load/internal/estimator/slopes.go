package estimator

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Slopes holds measured costs by name; the names are the keys of Tolerances.
type Slopes map[string]float64

// Tolerances says by what factor a slope may differ between two measurements:
// sizes are exact but for the length of numbers, times vary with the machine's
// other work.
var Tolerances = map[string]float64{
	"beat_bytes":        1.1, // one heartbeat as a call and its reply on the wire
	"datagram_bytes":    1.1, // one heartbeat as a datagram and its answer, with headers
	"datagram_cpu_us":   6,   // both ends of it
	"direct_bytes":      1.1, // one push of one change as a datagram and its answer, with headers
	"direct_cpu_us":     6,   // both ends of it, the change not applied
	"change_bytes":      1.1, // of one change in a batch
	"greet_bytes":       1.3, // one round of greetings on the wire
	"push_bytes":        1.1, // one push of one change on the wire, as a call
	"beat_cpu_us":       6,   // both ends of one heartbeat
	"greet_cpu_us":      6,   // both ends of one round
	"push_cpu_us":       6,   // one process, one change
	"apply_cpu_us":      6,   // one change at 30,000 accounts
	"pick_cpu_ns":       6,   // one placement with 140 servers in view
	"take_cpu_ns":       6,   // one look at an account's limits
	"account_heap":      1.3, // bytes of memory of one account
	"account_snapshot":  1.3, // bytes of snapshot of one account
	"entry_idle_core":   8,   // part of a core of an idle entry that hears 5 servers
	"sidecar_idle_core": 8,   // part of a core of an idle sidecar
	"entry_rss_mb":      2,
	"sidecar_rss_mb":    2,
	"change_reads":      1.1, // of the table service, without a race
	"change_writes":     1.1,
	"once_txn_s":        1.6, // transactions a second of one sidecar under load
	"shared_txn_s":      1.3, // of one of forty that share the bound, at 100 calls a second
	"shared_call_ms":    1.6, // that the record adds to a call there
}

// MissingError says that a slope was not given.
type MissingError struct {
	Name string
}

// Error implements error.
func (e *MissingError) Error() string { return "estimator: no slope " + e.Name }

// Read reads slopes, one "slope=NAME value=NUMBER" a line; other lines are
// passed over. It is a *MissingError if one of Tolerances is not there.
func Read(source io.Reader) (Slopes, error) {
	slopes := Slopes{}
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		fields := pairs(lines.Text())
		name, found := fields["slope"]
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(fields["value"], 64)
		if err != nil {
			return nil, fmt.Errorf("estimator: slope %s: %w", name, err)
		}
		slopes[name] = value
	}
	for name := range Tolerances {
		if _, found := slopes[name]; !found {
			return nil, &MissingError{Name: name}
		}
	}
	return slopes, lines.Err()
}

func pairs(line string) map[string]string {
	fields := map[string]string{}
	for _, word := range strings.Fields(line) {
		key, value, found := strings.Cut(word, "=")
		if found {
			fields[key] = value
		}
	}
	return fields
}

// Lines writes the slopes in order of name.
func (s Slopes) Lines() []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(Tolerances)) {
		lines = append(lines, fmt.Sprintf("slope=%s value=%g", name, s[name]))
	}
	return lines
}

// Differ names the slopes that differ from older ones by more than their
// tolerance.
func (s Slopes) Differ(older Slopes) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(Tolerances)) {
		a, b := s[name], older[name]
		if math.Max(a, b) > Tolerances[name]*math.Min(a, b) {
			names = append(names, fmt.Sprintf("%s was %g and is %g", name, b, a))
		}
	}
	return names
}
