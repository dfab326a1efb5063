package scaletest

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plot writes an SVG plot of the points, of the fit up to the design point, and of the budget.
func (s Slope) plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s, %s", s.Phase, s.Role, s.Measure)
	p.X.Label.Text, p.Y.Label.Text = s.Axis, s.Measure
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	if err := s.plotPoints(p); err != nil {
		return err
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
	return p.Save(plotWidth, plotHeight, file)
}

// plotPoints plots the points; those excluded from the fit are grey.
func (s Slope) plotPoints(p *plot.Plot) error {
	var fitted, excluded plotter.XYs
	for _, point := range s.Points {
		xy := plotter.XY{X: point.X, Y: point.Y}
		if point.Excluded {
			excluded = append(excluded, xy)
		} else {
			fitted = append(fitted, xy)
		}
	}
	for _, group := range []struct {
		points plotter.XYs
		label  string
		colour color.Color
	}{
		{fitted, "measured", color.RGBA{B: 200, A: 255}},
		{excluded, "excluded: machine saturated or fleet unstable", color.Gray{150}},
	} {
		if len(group.points) == 0 {
			continue
		}
		dots, err := plotter.NewScatter(group.points)
		if err != nil {
			return err
		}
		dots.Color = group.colour
		p.Add(dots)
		p.Legend.Add(group.label, dots)
	}
	return nil
}
