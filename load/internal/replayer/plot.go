package replayer

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// series is a curve of a plot.
type series struct {
	name  string
	color color.Color
	value func(Count) float64
}

// Plot writes a plot to the file at path, whose extension selects the format.
// By second of arrival, it shows the share of the possible value, the share of
// requests answered in time and the share refused.
func (r *Result) Plot(title, path string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "second in which the request came"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	for _, s := range []series{
		{name: "worth earned", color: color.RGBA{R: 30, G: 90, B: 180, A: 255}, value: Count.ValueShare},
		{name: "in time", color: color.RGBA{R: 40, G: 140, B: 60, A: 255}, value: Count.InTimeShare},
		{name: "refused", color: color.RGBA{R: 190, G: 50, B: 40, A: 255}, value: func(c Count) float64 { return float64(c.Refused) / float64(max(1, c.Requests)) }},
	} {
		points := make(plotter.XYs, 0, len(r.Seconds))
		for second, c := range r.Seconds {
			if c.Requests > 0 {
				points = append(points, plotter.XY{X: float64(second), Y: s.value(c)})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("replayer: %s: %w", s.name, err)
		}
		line.Color = s.color
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
