// Package timeline plots the outcomes and latencies of requests.
package timeline

import (
	"fmt"
	"image/color"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"currantusher.dev/bench/load"
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 4 * vg.Inch
)

var (
	green  = color.RGBA{R: 0x2e, G: 0x7d, B: 0x32, A: 0xff}
	amber  = color.RGBA{R: 0xa0, G: 0x5a, B: 0x00, A: 0xff}
	violet = color.RGBA{R: 0x6a, G: 0x1b, B: 0x9a, A: 0xff}
	red    = color.RGBA{R: 0xb0, G: 0x00, B: 0x20, A: 0xff}
)

// SaveOutcomes plots the rate of requests over time by their outcome. The
// extension of path determines the format, such as .svg or .png.
func SaveOutcomes(path, title string, result load.Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests per second"
	p.Legend.Top = true
	lines := []struct {
		name  string
		color color.Color
		count func(load.Point) int
	}{
		{"whole", green, func(point load.Point) int { return point.Whole }},
		{"refused, not run", amber, func(point load.Point) int { return point.Refused }},
		{"unknown", violet, func(point load.Point) int { return point.Unknown }},
		{"lost", red, func(point load.Point) int { return point.Lost }},
	}
	for _, line := range lines {
		plotLine, err := plotter.NewLine(requestRates(result.Timeline, line.count))
		if err != nil {
			return err
		}
		plotLine.Color = line.color
		p.Add(plotLine)
		p.Legend.Add(line.name, plotLine)
	}
	return save(p, path)
}

func requestRates(points []load.Point, count func(load.Point) int) plotter.XYs {
	line := make(plotter.XYs, 0, len(points))
	for _, point := range points {
		line = append(line, plotter.XY{X: point.Seconds, Y: float64(count(point)) / load.PointInterval.Seconds()})
	}
	return line
}

// SaveLatency plots the quantiles of the time to the first byte and to the
// complete answer. The extension of path determines the format.
func SaveLatency(path, title string, result load.Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "number of nines of the quantile (1 is 90%)"
	p.Y.Label.Text = "seconds"
	p.Legend.Top = true
	p.Legend.Left = true
	for _, curve := range []struct {
		name      string
		color     color.Color
		histogram *hdrhistogram.Histogram
	}{
		{"first byte", green, result.FirstByte},
		{"whole answer", violet, result.Latency},
	} {
		plotLine, err := plotter.NewLine(latencyQuantiles(curve.histogram))
		if err != nil {
			return err
		}
		plotLine.Color = curve.color
		p.Add(plotLine)
		p.Legend.Add(curve.name, plotLine)
	}
	return save(p, path)
}

// latencyQuantiles returns the values in seconds over the number of nines of the
// quantile: 1 stands for 90%.
func latencyQuantiles(histogram *hdrhistogram.Histogram) plotter.XYs {
	const maxNines, nineStep, microsPerSecond = 4.0, 0.05, 1e6
	var line plotter.XYs
	for nines := 0.0; nines <= maxNines; nines += nineStep {
		quantile := 100 * (1 - math.Pow(10, -nines))
		line = append(line, plotter.XY{X: nines, Y: float64(histogram.ValueAtQuantile(quantile)) / microsPerSecond})
	}
	return line
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot %q: %w", path, err)
	}
	return nil
}
