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

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes wait.png and packing.png into a directory.
func Plot(dir string, points []Point) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	wait := func(p Point) float64 { return float64(p.P99) / float64(time.Millisecond) }
	if err := draw(filepath.Join(dir, "wait.png"), "wait of admitted requests, 99th percentile (ms)", points, wait); err != nil {
		return err
	}
	packing := func(p Point) float64 { return 100 * p.Useful }
	return draw(filepath.Join(dir, "packing.png"), "slots' time used by answered requests (%)", points, packing)
}

// draw plots a value of the points against the load, one line for each rule.
func draw(file, label string, points []Point, value func(Point) float64) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "offered load (% of slots)", label
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, r := range rules {
		var xys plotter.XYs
		for _, x := range points {
			if x.Rule == r.name {
				xys = append(xys, plotter.XY{X: 100 * x.Load, Y: value(x)})
			}
		}
		lines = append(lines, r.name, xys)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
