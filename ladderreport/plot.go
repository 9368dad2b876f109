package ladderreport

import (
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot image.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlots writes two images into a directory: wait.png plots the 99th percentile of
// the waiting times against the load, and packing.png plots [Point.Useful].
func WritePlots(dir string, points []Point) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	waitMs := func(p Point) float64 { return float64(p.P99) / float64(time.Millisecond) }
	if err := draw(filepath.Join(dir, "wait.png"), "wait of admitted requests, 99th percentile (ms)", points, waitMs); err != nil {
		return err
	}
	usefulPercent := func(p Point) float64 { return 100 * p.Useful }
	return draw(filepath.Join(dir, "packing.png"), "slots' time used by answered requests (%)", points, usefulPercent)
}

// draw writes an image that plots a value of the points against the load, with one
// line for each rule.
func draw(file, label string, points []Point, value func(Point) float64) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "offered load (% of slots)", label
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, r := range rules {
		var values plotter.XYs
		for _, point := range points {
			if point.Rule == r.name {
				values = append(values, plotter.XY{X: 100 * point.Load, Y: value(point)})
			}
		}
		lines = append(lines, r.name, values)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
