package scaletest

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plot draws a slope: its points, its fit as far as the letter's size, and the
// budget.
func (s Slope) plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s, %s", s.Phase, s.Role, s.Measure)
	p.X.Label.Text, p.Y.Label.Text = s.Axis, s.Measure
	p.X.Min, p.Y.Min = 0, 0
	var in, out plotter.XYs
	for _, x := range s.Points {
		if x.LeftOut {
			out = append(out, plotter.XY{X: x.X, Y: x.Y})
		} else {
			in = append(in, plotter.XY{X: x.X, Y: x.Y})
		}
	}
	for _, group := range []struct {
		points plotter.XYs
		name   string
		colour color.Color
	}{{in, "measured", color.RGBA{B: 200, A: 255}}, {out, "left out: machine full, or not at rest", color.Gray{150}}} {
		if len(group.points) == 0 {
			continue
		}
		dots, err := plotter.NewScatter(group.points)
		if err != nil {
			return err
		}
		dots.Color = group.colour
		p.Add(dots)
		p.Legend.Add(group.name, dots)
	}
	if s.Fit != nil {
		f := plotter.NewFunction(s.Fit.ValueAt)
		f.Color = color.RGBA{R: 200, A: 255}
		f.XMin, f.XMax = 0, s.DesignPoint
		p.Add(f)
		p.X.Max, p.Y.Max = s.DesignPoint, max(s.Extrapolated*1.05, p.Y.Max)
		p.Legend.Add(fmt.Sprintf("fit, r2 %.3f", s.Fit.R2), f)
	}
	if s.Budget > 0 {
		b := plotter.NewFunction(func(float64) float64 { return s.Budget })
		b.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		p.Add(b)
		p.Legend.Add(fmt.Sprintf("budget %g", s.Budget), b)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}
