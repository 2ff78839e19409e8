// Package chart draws charts of measured slopes with the points that they were
// fitted to.
package chart

import (
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
)

// The size of a chart.
const (
	chartWidth  = 5 * vg.Inch
	chartHeight = 3 * vg.Inch
)

// WriteAll writes a chart as an SVG file to dir for each slope that was fitted to
// measured points.
func WriteAll(dir string, slopes capacity.Slopes) error {
	for _, s := range slopes {
		if !s.Measured || len(s.Points) == 0 {
			continue
		}
		if err := write(filepath.Join(dir, s.Name+".svg"), s); err != nil {
			return err
		}
	}
	return nil
}

// write draws the points and the fitted line of s and saves them to file.
func write(file string, s capacity.Slope) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = "driver"
	p.Y.Label.Text = s.Unit + " × driver"
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(s.Points))
	for i, pt := range s.Points {
		points[i] = plotter.XY{X: pt.X, Y: pt.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(func(x float64) float64 { return s.Intercept + s.Slope*x })
	line.Color = color.Gray{Y: 128}
	p.Add(plotter.NewGrid(), line, scatter)
	return p.Save(chartWidth, chartHeight, file)
}
