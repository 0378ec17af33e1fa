package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

// plotWidth and plotHeight are the size of a plot in pixels. maxPlotRate is the burn rate at its upper edge, where higher rates are drawn.
const (
	plotWidth   = 720
	plotHeight  = 90
	maxPlotRate = 20.0
)

// plotStep is the interval between two points of a plot and the window of their burn rates. It gives 72 points in 6 hours.
const plotStep = 5 * time.Minute

// plotData is one series in the HTML template.
type plotData struct {
	Row
	// Line holds the SVG points of the burn rate, Fast the vertical position of the fast-burn threshold in pixels.
	Line string
	Fast float64
}

// pageData is the input of pageTemplate.
type pageData struct {
	At            string
	Windows       [len(Windows)]Window
	Plots         []plotData
	Width, Height int
}

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent,
	"rate":    func(r float64) string { return fmt.Sprintf("%.1f", r) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}
.fast{color:#b00020;font-weight:bold}.slow{color:#b36b00;font-weight:bold}svg{background:#f6f6f6;display:block}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At}}. A burn rate of 1 uses the error budget up exactly in its period.</p>
{{if not .Plots}}<p>No requests in the last 6 hours.</p>{{else}}<table>
<tr><th>team</th><th>route</th><th>objective</th><th>good</th><th>total</th>{{range .Windows}}<th>burn {{.Name}}</th>{{end}}<th>state</th></tr>
{{range .Plots}}<tr><td>{{.Team}}</td><td>{{.Route}}</td><td>{{percent .Objective}}</td><td>{{.Good}}</td><td>{{.Total}}</td>
{{range .Rates}}<td>{{rate .}}</td>{{end}}<td class="{{if eq .State "fast burn"}}fast{{else if eq .State "slow burn"}}slow{{end}}">{{.State}}</td></tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Team}} / {{.Route}}</h2>
<svg width="{{$.Width}}" height="{{$.Height}}" role="img" aria-label="burn rate of {{.Team}} on {{.Route}} over 6 hours">
<line x1="0" x2="{{$.Width}}" y1="{{.Fast}}" y2="{{.Fast}}" stroke="#b00020" stroke-dasharray="4"/>
<polyline points="{{.Line}}" fill="none" stroke="#1a5fb4" stroke-width="1.5"/></svg>
{{end}}<p>Plots: burn rate over 5 minutes, 6 hours up to the time above; dashed: the fast threshold 14.4; upper edge: 20.</p>
{{end}}</body></html>
`))

// WriteHTML writes the report as an HTML page without references to other files.
func (r Report) WriteHTML(w io.Writer) error {
	p := pageData{At: r.At.UTC().Format(time.RFC3339), Windows: Windows, Width: plotWidth, Height: plotHeight}
	for _, row := range r.Rows {
		p.Plots = append(p.Plots, plotData{Row: row, Line: polylinePoints(row, r.At), Fast: plotY(fastThreshold)})
	}
	return pageTemplate.Execute(w, p)
}

// polylinePoints returns the burn rate over the last 6 hours as the points attribute of an SVG polyline.
func polylinePoints(row Row, at time.Time) string {
	span := Windows[len(Windows)-1].Length
	steps := int(span / plotStep)
	var b strings.Builder
	for i := range steps {
		end := at.Add(-time.Duration(steps-1-i) * plotStep)
		good, total := sumWindow(row.Points, end, plotStep)
		x := float64(i) / float64(steps-1) * plotWidth
		fmt.Fprintf(&b, "%.1f,%.1f ", x, plotY(BurnRate(good, total, row.Objective)))
	}
	return strings.TrimSpace(b.String())
}

// plotY returns the vertical position of a burn rate in pixels from the upper edge.
func plotY(rate float64) float64 { return plotHeight * (1 - min(rate, maxPlotRate)/maxPlotRate) }
