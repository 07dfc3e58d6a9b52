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

// Slopes maps the names of unit costs to their values. The names are the keys of Tolerances.
type Slopes map[string]float64

// Tolerances holds the factor by which each slope may differ between two
// measurements. Sizes vary only with the number of digits in messages, times
// with the load of the machine.
var Tolerances = map[string]float64{
	"beat_bytes":        1.1, // heartbeat as a call and its reply, as sent over the network
	"datagram_bytes":    1.1, // heartbeat as a datagram and its acknowledgement, with headers
	"datagram_cpu_us":   6,   // CPU time of sender and receiver for that datagram
	"direct_bytes":      1.1, // push of one change as a datagram and its acknowledgement, with headers
	"direct_cpu_us":     6,   // CPU time of sender and receiver for that push, without applying the change
	"change_bytes":      1.1, // one change in a batch
	"greet_bytes":       1.3, // one gossip round, as sent over the network
	"push_bytes":        1.1, // push of one change as a call, as sent over the network
	"beat_cpu_us":       6,   // CPU time of sender and receiver for one heartbeat call
	"greet_cpu_us":      6,   // CPU time of both entries for one gossip round
	"push_cpu_us":       6,   // CPU time of one process for one change
	"apply_cpu_us":      6,   // CPU time to apply one change with 30,000 accounts
	"pick_cpu_ns":       6,   // CPU time of one placement among 140 servers
	"take_cpu_ns":       6,   // CPU time of one check of an account's limits
	"account_heap":      1.3, // heap bytes per account
	"account_snapshot":  1.3, // snapshot bytes per account
	"entry_idle_core":   8,   // CPU cores of an idle entry that receives heartbeats of 5 servers
	"sidecar_idle_core": 8,   // CPU cores of an idle sidecar
	"entry_rss_mb":      2,
	"sidecar_rss_mb":    2,
	"change_reads":      1.1, // reads of the table service per change, without conflicts
	"change_writes":     1.1,
	"once_txn_s":        1.6, // transactions per second of one sidecar under load
	"shared_txn_s":      1.3, // transactions per second of one of forty sidecars that share the bound on writes, at 100 calls per second
	"shared_call_ms":    1.6, // milliseconds that the stored record adds to a call in the same setup
}

// MissingError reports a missing slope.
type MissingError struct {
	Name string
}

// Error implements error.
func (e *MissingError) Error() string { return "estimator: missing slope " + e.Name }

// Read reads slopes, one "slope=NAME value=NUMBER" per line, and ignores other
// lines. It returns a *MissingError if one of the slopes in Tolerances is
// missing, and another error if a value is not a number or the source fails.
func Read(source io.Reader) (Slopes, error) {
	slopes := Slopes{}
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		fields := parsePairs(lines.Text())
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

func parsePairs(line string) map[string]string {
	fields := map[string]string{}
	for _, word := range strings.Fields(line) {
		key, value, found := strings.Cut(word, "=")
		if found {
			fields[key] = value
		}
	}
	return fields
}

// Lines returns the slopes as text lines, ordered by name.
func (s Slopes) Lines() []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(Tolerances)) {
		lines = append(lines, fmt.Sprintf("slope=%s value=%g", name, s[name]))
	}
	return lines
}

// Differ describes the slopes that differ from older ones by more than their
// tolerances.
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
