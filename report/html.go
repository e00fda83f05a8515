package report

import (
	_ "embed"
	"html/template"
	"io"
	"math"
	"time"
)

//go:embed burn.html.tmpl
var pageSource string

const (
	// barWidth is the width in pixels of the bar of the highest burn rate.
	barWidth = 360.0
	// minBarScale is the burn rate of a full-width bar if all rates are lower.
	minBarScale = 1.0
)

type pageRow struct {
	Series    Series
	Objective string
	Alert     string
	Bars      []bar
}

type bar struct {
	Label string
	Rate  float64
	Width float64
	Y     int
	Over  bool
}

type page struct {
	At   string
	Rows []pageRow
	// BudgetX is the horizontal position in pixels of a burn rate of 1.
	BudgetX float64
}

// barPitch is the vertical distance in pixels between two bars.
const barPitch = 16

var pageTemplate = template.Must(template.New("burn").Parse(pageSource))

// WriteHTML writes the report as one HTML page with SVG bars.
func (r Report) WriteHTML(w io.Writer) error {
	scale := r.maxBurnRate()
	out := page{At: r.At.UTC().Format(time.RFC3339), BudgetX: barWidth / scale}
	for _, s := range r.Series {
		out.Rows = append(out.Rows, pageRow{
			Series:    s,
			Objective: s.objectiveText(),
			Alert:     s.alertText(),
			Bars:      s.bars(scale),
		})
	}
	return pageTemplate.Execute(w, out)
}

// maxBurnRate returns the highest burn rate of all windows, at least minBarScale.
func (r Report) maxBurnRate() float64 {
	highest := minBarScale
	for _, s := range r.Series {
		for _, window := range s.Windows {
			highest = math.Max(highest, window.BurnRate)
		}
	}
	return highest
}

func (s Series) bars(scale float64) []bar {
	bars := make([]bar, 0, len(s.Windows))
	for i, window := range s.Windows {
		bars = append(bars, bar{
			Label: formatWindow(time.Duration(window.Seconds) * time.Second),
			Rate:  window.BurnRate,
			Width: barWidth * window.BurnRate / scale,
			Y:     i * barPitch,
			Over:  window.BurnRate > 1,
		})
	}
	return bars
}
