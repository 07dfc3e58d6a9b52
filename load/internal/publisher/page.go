package publisher

import (
	"fmt"
	"io"
	"strings"
	"time"

	"bamboohill/load/internal/experimenter"
)

// column is a column of a table on the page.
type column struct {
	name string
	text func(experimenter.Row) string
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

var (
	colPolicy      = column{"policy", func(r experimenter.Row) string { return string(r.Result.Setup.Policy) }}
	colEngines     = column{"engines", func(r experimenter.Row) string { return fmt.Sprint(r.Result.Setup.Engines) }}
	colLoad        = column{"load", func(r experimenter.Row) string { return fmt.Sprintf("%.2f", r.Load) }}
	colReportDelay = column{"lag s", func(r experimenter.Row) string { return fmt.Sprintf("%.1f", r.Result.Setup.ReportDelay.Seconds()) }}
	colSeed        = column{"seed", func(r experimenter.Row) string { return fmt.Sprint(r.Seed) }}
	colSurgeFactor = column{"surge", func(r experimenter.Row) string { return fmt.Sprintf("%.0f", r.SurgeFactor) }}
	colFairShare   = column{"shared", func(r experimenter.Row) string { return fmt.Sprint(r.Result.Setup.FairShare) }}
	colSlowdown    = column{"slowdown", func(r experimenter.Row) string { return number(r.Slowdown()) }}
	colInTime      = column{"in time", func(r experimenter.Row) string {
		return number(experimenter.Ratio(float64(r.Result.InTime), float64(r.Result.Sent)))
	}}
	colRefused = column{"refused", func(r experimenter.Row) string {
		return number(experimenter.Ratio(float64(r.Result.Refused), float64(r.Result.Sent)))
	}}
	colLimited = column{"limited", func(r experimenter.Row) string {
		return number(experimenter.Ratio(float64(r.Result.Limited), float64(r.Result.Sent)))
	}}
	colGoodput       = column{"goodput", func(r experimenter.Row) string { return number(r.Result.Goodput) }}
	colWastedPrefill = column{"wasted", func(r experimenter.Row) string { return number(r.Result.WastedPrefill) }}
	colHitRate       = column{"hits", func(r experimenter.Row) string { return number(r.Result.HitRate) }}
	colJainIndex     = column{"Jain", func(r experimenter.Row) string { return number(r.Result.JainIndex) }}
	colLongInTime    = column{"long in time", func(r experimenter.Row) string { return number(r.Result.InTimeShare[experimenter.Long]) }}
	colLongSlowdown  = column{"long p50/p95 of empty", func(r experimenter.Row) string {
		return fmt.Sprintf("%.2f / %.2f", r.Result.LongSlowdown.P50.Seconds(), r.Result.LongSlowdown.P95.Seconds())
	}}
	colOthers       = column{"others' short p95", func(r experimenter.Row) string { return seconds(r.Result.OthersFirstToken.P95) }}
	colOthersInTime = column{"others in time", func(r experimenter.Row) string { return number(r.Result.OthersInTime) }}
)

func colFirstToken(c experimenter.Class) column {
	return column{c.String() + " p50/p95/p99", func(r experimenter.Row) string {
		t := r.Result.FirstToken[c]
		return fmt.Sprintf("%s / %s / %s", seconds(t.P50), seconds(t.P95), seconds(t.P99))
	}}
}

// section is a section of the page with one table.
type section struct {
	name    string
	title   string
	text    string
	columns []column
}

var sections = []section{
	{experimenter.Policies, "Policies", "First tokens in seconds. A request that missed its first token counts with its timeout.",
		[]column{colEngines, colLoad, colPolicy, colFirstToken(experimenter.Short), colSlowdown, colFirstToken(experimenter.Medium), colFirstToken(experimenter.Long), colLongSlowdown, colInTime, colRefused, colGoodput, colWastedPrefill, colHitRate, colJainIndex}},
	{experimenter.Ablation, "Each part switched off", "The whole policy first, then without one part.",
		[]column{colLoad, colPolicy, colFirstToken(experimenter.Short), colSlowdown, colFirstToken(experimenter.Medium), colLongSlowdown, colLongInTime, colInTime, colRefused, colGoodput, colWastedPrefill, colHitRate}},
	{experimenter.Herding, "Herds on lagged reports", "Load 0.8; reports come each 500 ms, late by the lag, and do not ride on answers.",
		[]column{colReportDelay, colPolicy, colFirstToken(experimenter.Short), colFirstToken(experimenter.Medium), colInTime, colGoodput, colHitRate}},
	{experimenter.Admission, "Admission", "Timeouts of 0.4 of the usual ones: 8 s, 18 s and 48 s by class.",
		[]column{colLoad, colPolicy, colFirstToken(experimenter.Short), colFirstToken(experimenter.Medium), colInTime, colRefused, colGoodput, colWastedPrefill}},
	{experimenter.Fairness, "A large account", "Load 0.6; the largest of ten accounts (0.3 of the requests) sends so many times more in the half that counts.",
		[]column{colSeed, colSurgeFactor, colFairShare, colOthers, colOthersInTime, colFirstToken(experimenter.Short), colInTime, colLimited, colGoodput}},
}

// WritePage writes the rows of a suite as a Markdown page, which names the command that produced it.
func WritePage(w io.Writer, s experimenter.Suite, command string, rows []experimenter.Row) error {
	fmt.Fprintf(w, "# Measurements\n\nWritten by `%s`; seeds %v, the tables from seed %d.\n%s\n", command, s.Seeds, s.Seeds[0], intro)
	fmt.Fprintf(w, "## Targets\n\nOne value for each seed and, but for the last row, each of 14 and 20 engines in turn.\n\n")
	fmt.Fprintf(w, "| target | wanted | seen | missed |\n|---|---|---|---|\n")
	for _, t := range s.Targets(rows) {
		var seen []string
		for _, x := range t.Values {
			seen = append(seen, fmt.Sprintf("%.2f", x))
		}
		fmt.Fprintf(w, "| %s | %s | %s | %d of %d |\n", t.Name, t.Goal, strings.Join(seen, ", "), t.Missed(), len(t.Values))
	}
	for _, x := range sections {
		fmt.Fprintf(w, "\n## %s\n\n%s\n\n", x.title, x.text)
		x.write(w, s.Seeds[0], rows)
	}
	_, err := fmt.Fprintln(w)
	return err
}

func (x section) write(w io.Writer, seed uint64, rows []experimenter.Row) {
	var names []string
	for _, c := range x.columns {
		names = append(names, c.name)
	}
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(names, " | "), strings.Repeat("---|", len(names)))
	for _, r := range rows {
		if r.Name != x.name || r.Seed != seed && x.name != experimenter.Fairness {
			continue
		}
		var cells []string
		for _, c := range x.columns {
			cells = append(cells, c.text(r))
		}
		fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	}
}

const intro = `
The decisions are those that the entries run; engines, clock and arrivals are
fakes (load/internal/experimenter): 50,000 prefill tokens a second in chunks of
2,048, 1,200,000 tokens of memory, 64 requests at once, 44 ms a step with
prefill and about 5 ms without. Three entries, each with a view of its own.
Open-loop arrivals over five minutes, of which the first does not count.
Prompts: 70 % of 1 k to 4 k tokens (short), 28 % up to 100 k (middle), 2 % up to
1 M (long), log-uniform in each class; 60 % start with one of their account's
shared prefixes; ten accounts, three of them large. A prompt larger than one
engine's memory does not occur: gangs are not part of this rig.

- load: work offered, each shared prefix prefilled once, of what all engines can do.
- slowdown: short p95 over the short p95 of the same trace without its long prompts.
- of empty: first token over the prompt's own prefill on an idle engine without cache.
- goodput: work finished in time, as if nothing were cached, of what all engines can do.
- wasted: prefill done for requests that missed their deadline. hits: prompt tokens found cached.
- the baselines' engines serve in order of arrival; row no-priority is the policy on such engines.
- Jain: index of the accounts' parts of work finished in time.

![Short first token, p95, by load](plots/short-p95.png)
![Herd on lagged reports](plots/herd.png)
`
