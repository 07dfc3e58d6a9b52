package recorder

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteCSV writes one line for each request, in the order in which they ended.
func (r *Recorder) WriteCSV(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := csv.NewWriter(w)
	out.Write([]string{"serial", "at_ms", "class", "tokens", "account", "entry", "stream", "outcome", "status", "code", "tries", "first_ms", "total_ms", "request"})
	for _, s := range r.results {
		q := s.Request
		out.Write([]string{
			strconv.Itoa(q.Serial), millis(q.Arrival), string(q.Class()), strconv.FormatInt(q.Tokens, 10), strconv.Itoa(q.Account),
			strconv.Itoa(q.Entry), strconv.FormatBool(q.Stream), string(s.Outcome), strconv.Itoa(s.Status), s.Code,
			strconv.Itoa(s.Tries), millis(s.FirstToken), millis(s.Total), s.ID,
		})
	}
	out.Flush()
	return out.Error()
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

// Dimensions of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot writes a plot of the distribution of first-token times by class to the
// file at path, whose extension selects the format. It omits classes without
// answers and writes no file if there are none.
func (r *Recorder) Plot(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := plot.New()
	p.Title.Text = "First token by class"
	p.X.Label.Text = "milliseconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share answered"
	lines := []any{}
	for _, c := range Classes {
		h := r.classes[c].first
		var points plotter.XYs
		for q := 1.0; q < 100; q++ {
			points = append(points, plotter.XY{X: max(1, float64(h.ValueAtQuantile(q))) / 1000, Y: q / 100})
		}
		if h.TotalCount() > 0 {
			lines = append(lines, string(c), points)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
