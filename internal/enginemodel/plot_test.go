package enginemodel_test

import (
	"fmt"
	"strings"
)

// loadPage is the template of docs/load.md. TABLE stands for the table of results.
const loadPage = `# Goodput against load

Written by ` + "`make load`" + `: the decisions of ` + "`internal/placement`" + ` on the engine model of ` + "`internal/enginemodel`" + `, in virtual time, compared with two simple
baselines. The load is that of the site with the highest load (4 VMs, 18 engines of which 6 are prefill engines, in 3 failure domains), with a mix
that changes every 2.8 s; load 1.0 is a calm day. Goodput counts requests whose first token reaches the caller within the site's
objective. Each point is one run of 20 s with the same seed.

![goodput against load](load.svg)

TABLE

What the model leaves out is in its package comment. It has no crashes, reclaims, orders, role changes or cold starts of engines, and all of
a response's tokens are generated one at a time. A comparison with the users' bench is in [bench.md](bench.md).
`

const (
	plotWidth, plotHeight, plotMargin = 640, 400, 50
)

var plotColours = []string{"#1b6ca8", "#8e44ad", "#c0392b", "#7f8c8d"}

// plot returns an SVG plot of goodput in requests per second against the load, with one line for each policy.
func plot(loads []float64, curves [][]float64) string {
	maxGoodput := 0.0
	for _, c := range curves {
		for _, v := range c {
			maxGoodput = max(maxGoodput, v)
		}
	}
	x := func(load float64) float64 {
		return plotMargin + load/loads[len(loads)-1]*(plotWidth-2*plotMargin)
	}
	y := func(v float64) float64 { return plotHeight - plotMargin - v/maxGoodput*(plotHeight-2*plotMargin) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<path d="M%d %d V%d H%d" fill="none" stroke="black"/>`+"\n", plotMargin, plotMargin, plotHeight-plotMargin, plotWidth-plotMargin)
	for _, load := range loads {
		fmt.Fprintf(&b, `<text x="%.0f" y="%d" text-anchor="middle">%.1f</text>`+"\n", x(load), plotHeight-plotMargin+16, load)
	}
	for i := range 5 {
		v := maxGoodput * float64(i) / 4
		fmt.Fprintf(&b, `<text x="%d" y="%.0f" text-anchor="end">%.0f</text>`+"\n", plotMargin-6, y(v)+4, v)
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="middle">load (1.0 is a calm day)</text>`+"\n", plotWidth/2, plotHeight-10)
	fmt.Fprintf(&b, `<text x="%d" y="%d">requests/s with their first token in time</text>`+"\n", plotMargin, plotMargin-16)
	for i, c := range curves {
		var points []string
		for j, v := range c {
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(loads[j]), y(v)))
		}
		fmt.Fprintf(&b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", strings.Join(points, " "), plotColours[i])
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+12, plotMargin+16*(i+1), plotColours[i], policies[i].name)
	}
	b.WriteString("</svg>\n")
	return b.String()
}
