package publisher

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"bamboohill/load/internal/experimenter"
)

// field is one named value of a row.
type field struct {
	name string
	text func(experimenter.Row) string
}

func number(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// fields returns the fields of a row, in order.
func fields() []field {
	list := []field{
		{"experiment", func(r experimenter.Row) string { return r.Name }},
		{"policy", func(r experimenter.Row) string { return string(r.Result.Setup.Policy) }},
		{"engines", func(r experimenter.Row) string { return strconv.Itoa(r.Result.Setup.Engines) }},
		{"load", func(r experimenter.Row) string { return number(r.Load) }},
		{"seed", func(r experimenter.Row) string { return strconv.FormatUint(r.Seed, 10) }},
		{"fair", func(r experimenter.Row) string { return strconv.FormatBool(r.Result.Setup.FairShare) }},
		{"surge", func(r experimenter.Row) string { return number(r.SurgeFactor) }},
		{"lag_ms", func(r experimenter.Row) string { return ms(r.Result.Setup.ReportDelay) }},
		{"sent", func(r experimenter.Row) string { return strconv.Itoa(r.Result.Sent) }},
		{"in_time", func(r experimenter.Row) string {
			return number(experimenter.Ratio(float64(r.Result.InTime), float64(r.Result.Sent)))
		}},
		{"refused", func(r experimenter.Row) string {
			return number(experimenter.Ratio(float64(r.Result.Refused), float64(r.Result.Sent)))
		}},
		{"limited", func(r experimenter.Row) string {
			return number(experimenter.Ratio(float64(r.Result.Limited), float64(r.Result.Sent)))
		}},
		{"late", func(r experimenter.Row) string {
			return number(experimenter.Ratio(float64(r.Result.Late), float64(r.Result.Sent)))
		}},
		{"goodput", func(r experimenter.Row) string { return number(r.Result.Goodput) }},
		{"wasted", func(r experimenter.Row) string { return number(r.Result.WastedPrefill) }},
		{"hit", func(r experimenter.Row) string { return number(r.Result.HitRate) }},
		{"found", func(r experimenter.Row) string { return number(r.Result.ReuseRate) }},
		{"busy", func(r experimenter.Row) string { return number(r.Result.PrefillUtilization) }},
		{"worst_account", func(r experimenter.Row) string { return number(r.Result.MinAccountShare) }},
		{"jain", func(r experimenter.Row) string { return number(r.Result.JainIndex) }},
		{"slowdown", func(r experimenter.Row) string { return number(r.Slowdown()) }},
		{"long_stretch_p50", func(r experimenter.Row) string { return number(r.Result.LongSlowdown.P50.Seconds()) }},
		{"long_stretch_p95", func(r experimenter.Row) string { return number(r.Result.LongSlowdown.P95.Seconds()) }},
		{"others_in_time", func(r experimenter.Row) string { return number(r.Result.OthersInTime) }},
		{"others_p95_ms", func(r experimenter.Row) string { return ms(r.Result.OthersFirstToken.P95) }},
	}
	for _, c := range experimenter.Classes {
		list = append(list,
			field{c.String() + "_p50_ms", func(r experimenter.Row) string { return ms(r.Result.FirstToken[c].P50) }},
			field{c.String() + "_p95_ms", func(r experimenter.Row) string { return ms(r.Result.FirstToken[c].P95) }},
			field{c.String() + "_p99_ms", func(r experimenter.Row) string { return ms(r.Result.FirstToken[c].P99) }},
			field{c.String() + "_in_time", func(r experimenter.Row) string { return number(r.Result.InTimeShare[c]) }},
		)
	}
	return list
}

// WriteLine writes a row as a line of key=value pairs.
func WriteLine(w io.Writer, r experimenter.Row) error {
	for i, f := range fields() {
		if i > 0 {
			fmt.Fprint(w, " ")
		}
		fmt.Fprintf(w, "%s=%s", f.name, f.text(r))
	}
	_, err := fmt.Fprintln(w)
	return err
}

// WriteCSV writes rows as comma-separated values with a header line.
func WriteCSV(w io.Writer, rows []experimenter.Row) error {
	out := csv.NewWriter(w)
	var names []string
	for _, f := range fields() {
		names = append(names, f.name)
	}
	out.Write(names)
	for _, r := range rows {
		var record []string
		for _, f := range fields() {
			record = append(record, f.text(r))
		}
		out.Write(record)
	}
	out.Flush()
	return out.Error()
}
