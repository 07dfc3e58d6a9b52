package publisher

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"bamboohill/load/internal/experimenter"
)

// field is one column of the results.
type field struct {
	name string
	text func(experimenter.Row) string
}

func number(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// fields holds the columns, in order.
func fields() []field {
	list := []field{
		{"experiment", func(r experimenter.Row) string { return r.Name }},
		{"policy", func(r experimenter.Row) string { return string(r.Result.Setup.Policy) }},
		{"engines", func(r experimenter.Row) string { return strconv.Itoa(r.Result.Setup.Engines) }},
		{"load", func(r experimenter.Row) string { return number(r.Load) }},
		{"seed", func(r experimenter.Row) string { return strconv.FormatUint(r.Seed, 10) }},
		{"fair", func(r experimenter.Row) string { return strconv.FormatBool(r.Result.Setup.Fair) }},
		{"surge", func(r experimenter.Row) string { return number(r.Surge) }},
		{"lag_ms", func(r experimenter.Row) string { return ms(r.Result.Setup.Lag) }},
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
		{"goodput", func(r experimenter.Row) string { return number(r.Result.Work) }},
		{"wasted", func(r experimenter.Row) string { return number(r.Result.Wasted) }},
		{"hit", func(r experimenter.Row) string { return number(r.Result.Hit) }},
		{"found", func(r experimenter.Row) string { return number(r.Result.Found) }},
		{"busy", func(r experimenter.Row) string { return number(r.Result.Busy) }},
		{"worst_account", func(r experimenter.Row) string { return number(r.Result.Worst) }},
		{"jain", func(r experimenter.Row) string { return number(r.Result.Jain) }},
		{"slowdown", func(r experimenter.Row) string { return number(r.Slowdown()) }},
		{"long_stretch_p50", func(r experimenter.Row) string { return number(r.Result.Stretch.P50.Seconds()) }},
		{"long_stretch_p95", func(r experimenter.Row) string { return number(r.Result.Stretch.P95.Seconds()) }},
		{"others_in_time", func(r experimenter.Row) string { return number(r.Result.OthersIn) }},
		{"others_p95_ms", func(r experimenter.Row) string { return ms(r.Result.Others.P95) }},
	}
	for _, c := range experimenter.Classes {
		list = append(list,
			field{c.String() + "_p50_ms", func(r experimenter.Row) string { return ms(r.Result.First[c].P50) }},
			field{c.String() + "_p95_ms", func(r experimenter.Row) string { return ms(r.Result.First[c].P95) }},
			field{c.String() + "_p99_ms", func(r experimenter.Row) string { return ms(r.Result.First[c].P99) }},
			field{c.String() + "_in_time", func(r experimenter.Row) string { return number(r.Result.Good[c]) }},
		)
	}
	return list
}

// WriteLine writes a row as one line of key=value pairs.
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

// WriteCSV writes rows as comma-separated values under a line of names.
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
