package publisher

import (
	"path/filepath"

	"bamboohill/load/internal/experimenter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plots writes the plots of a suite to a directory.
func Plots(dir string, s experimenter.Suite, rows []experimenter.Row) error {
	seed := s.Seeds[0]
	err := draw(filepath.Join(dir, "short-p95.png"), "Short prompts, 20 engines", "load", rows, func(r experimenter.Row) (float64, bool) {
		return r.Load, r.Name == experimenter.Policies && r.Seed == seed && r.Result.Setup.Engines == 20 && r.Result.Setup.Policy != experimenter.TrueCacheState
	})
	if err != nil {
		return err
	}
	return draw(filepath.Join(dir, "herd.png"), "Short prompts, 20 engines, load 0.8", "lag of reports, s", rows, func(r experimenter.Row) (float64, bool) {
		return r.Result.Setup.ReportDelay.Seconds(), r.Name == experimenter.Herding
	})
}

// draw plots the p95 first-token time of short prompts, with one line for each
// policy. at returns the x value of a row, and whether the plot includes it.
func draw(path, title, axis string, rows []experimenter.Row, at func(experimenter.Row) (float64, bool)) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = axis
	p.Y.Label.Text = "first token p95, s"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	var order []experimenter.Policy
	lines := map[experimenter.Policy]plotter.XYs{}
	for _, r := range rows {
		x, taken := at(r)
		if !taken {
			continue
		}
		policy := r.Result.Setup.Policy
		if lines[policy] == nil {
			order = append(order, policy)
		}
		lines[policy] = append(lines[policy], plotter.XY{X: x, Y: r.Result.FirstToken[experimenter.Short].P95.Seconds()})
	}
	var args []any
	for _, policy := range order {
		args = append(args, string(policy), lines[policy])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
