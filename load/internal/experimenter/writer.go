package experimenter

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Row is one result with what it was run on.
type Row struct {
	Name   string // of the experiment
	Load   float64
	Seed   uint64
	Surge  float64
	Result *Result
	Calm   *Result // the same trace without long prompts, if it was run
}

// field is one column of the results.
type field struct {
	name string
	text func(Row) string
}

func number(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// Slowdown returns how much longer the first token of short prompts takes at
// p95 than without long prompts, or 0 if that was not run.
func (r Row) Slowdown() float64 {
	if r.Calm == nil {
		return 0
	}
	return part(r.Result.First[Short].P95.Seconds(), r.Calm.First[Short].P95.Seconds())
}

// fields holds the columns, in order.
func fields() []field {
	list := []field{
		{"experiment", func(r Row) string { return r.Name }},
		{"policy", func(r Row) string { return string(r.Result.Setup.Policy) }},
		{"engines", func(r Row) string { return strconv.Itoa(r.Result.Setup.Engines) }},
		{"load", func(r Row) string { return number(r.Load) }},
		{"seed", func(r Row) string { return strconv.FormatUint(r.Seed, 10) }},
		{"fair", func(r Row) string { return strconv.FormatBool(r.Result.Setup.Fair) }},
		{"surge", func(r Row) string { return number(r.Surge) }},
		{"lag_ms", func(r Row) string { return ms(r.Result.Setup.Lag) }},
		{"sent", func(r Row) string { return strconv.Itoa(r.Result.Sent) }},
		{"in_time", func(r Row) string { return number(part(float64(r.Result.InTime), float64(r.Result.Sent))) }},
		{"refused", func(r Row) string { return number(part(float64(r.Result.Refused), float64(r.Result.Sent))) }},
		{"limited", func(r Row) string { return number(part(float64(r.Result.Limited), float64(r.Result.Sent))) }},
		{"late", func(r Row) string { return number(part(float64(r.Result.Late), float64(r.Result.Sent))) }},
		{"goodput", func(r Row) string { return number(r.Result.Work) }},
		{"wasted", func(r Row) string { return number(r.Result.Wasted) }},
		{"hit", func(r Row) string { return number(r.Result.Hit) }},
		{"found", func(r Row) string { return number(r.Result.Found) }},
		{"busy", func(r Row) string { return number(r.Result.Busy) }},
		{"worst_account", func(r Row) string { return number(r.Result.Worst) }},
		{"jain", func(r Row) string { return number(r.Result.Jain) }},
		{"slowdown", func(r Row) string { return number(r.Slowdown()) }},
		{"long_stretch_p50", func(r Row) string { return number(r.Result.Stretch.P50.Seconds()) }},
		{"long_stretch_p95", func(r Row) string { return number(r.Result.Stretch.P95.Seconds()) }},
		{"others_in_time", func(r Row) string { return number(r.Result.OthersIn) }},
		{"others_p95_ms", func(r Row) string { return ms(r.Result.Others.P95) }},
	}
	for _, c := range Classes {
		list = append(list,
			field{c.String() + "_p50_ms", func(r Row) string { return ms(r.Result.First[c].P50) }},
			field{c.String() + "_p95_ms", func(r Row) string { return ms(r.Result.First[c].P95) }},
			field{c.String() + "_p99_ms", func(r Row) string { return ms(r.Result.First[c].P99) }},
			field{c.String() + "_in_time", func(r Row) string { return number(r.Result.Good[c]) }},
		)
	}
	return list
}

// WriteLine writes a row as one line of key=value pairs.
func WriteLine(w io.Writer, r Row) error {
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
func WriteCSV(w io.Writer, rows []Row) error {
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
