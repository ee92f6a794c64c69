package chart

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"dogwoodsill.org/core/burn"
)

// Dimensions and resolution of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	// pointInterval is the time between two points of a line.
	pointInterval = 5 * time.Minute
)

// Page is the content of the HTML page.
type Page struct {
	Report burn.Report
	Notes  []string // describe what the report covers and what it doesn't
	Plots  []Plot
}

// Plot shows the burn rates of one objective over time.
type Plot struct {
	Title string
	SVG   template.HTML
}

// NewPage returns a page with the report of a table and a plot for every
// objective.
func NewPage(t *burn.Table, notes []string) (*Page, error) {
	p := &Page{Report: t.Report(), Notes: notes}
	for _, service := range t.Services() {
		for _, o := range t.Objectives()[service] {
			lines := []series{}
			for _, a := range burn.Alerts() {
				for _, window := range []time.Duration{a.Short, a.Long} {
					points := t.History(service, o, window, pointInterval)
					if len(points) > 1 { // the longest window spans all retained counts and has one point
						lines = append(lines, series{window, points})
					}
				}
			}
			svg, err := drawLines(t.End(), lines)
			if err != nil {
				return nil, err
			}
			title := Title(burn.Objective{Service: service, Importance: o.Importance, Objective: o.Objective, LatencyMS: o.LatencyMS})
			p.Plots = append(p.Plots, Plot{Title: title, SVG: svg})
		}
	}
	return p, nil
}

// Title describes an objective in one line, for headings and tables.
func Title(o burn.Objective) string {
	text := fmt.Sprintf("%s: %g%%", o.Service, o.Objective*100)
	if o.LatencyMS > 0 {
		text += fmt.Sprintf(" within %d ms", o.LatencyMS)
	}
	if o.Importance != nil {
		text += fmt.Sprintf(", importance %d", *o.Importance)
	}
	return text
}

// series is the history of the burn rate over one window.
type series struct {
	window time.Duration
	points []burn.Point
}

// colours are the line colours of the windows. They are distinguishable with
// colour vision deficiency.
var colours = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	color.RGBA{G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
}

// drawLines returns an SVG element with one line per window and a dashed line per
// alert threshold.
func drawLines(now time.Time, lines []series) (template.HTML, error) {
	p := plot.New()
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)
	p.X.Label.Text = "UTC"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	slices.SortFunc(lines, func(a, b series) int { return int(a.window - b.window) })
	for i, l := range lines {
		if err := addLine(p, formatWindow(l.window), l.points, draw.LineStyle{Color: colours[i%len(colours)], Width: vg.Points(1)}); err != nil {
			return "", err
		}
	}
	for _, a := range burn.Alerts() {
		ends := []burn.Point{{At: now.Add(-burn.Retention), Rate: a.Threshold}, {At: now, Rate: a.Threshold}}
		style := draw.LineStyle{Color: color.Gray{Y: 0x80}, Width: vg.Points(0.5), Dashes: []vg.Length{vg.Points(3), vg.Points(3)}}
		if err := addLine(p, fmt.Sprintf("%s above %g", a.Name, a.Threshold), ends, style); err != nil {
			return "", err
		}
	}
	return encodeSVG(p)
}

// hourTicks returns a labelled tick for each full hour between two Unix times.
func hourTicks(from, to float64) []plot.Tick {
	const hour = 3600
	var out []plot.Tick
	for at := math.Ceil(from/hour) * hour; at <= to; at += hour {
		out = append(out, plot.Tick{Value: at, Label: time.Unix(int64(at), 0).UTC().Format("15:04")})
	}
	return out
}

func addLine(p *plot.Plot, name string, points []burn.Point, style draw.LineStyle) error {
	xys := make(plotter.XYs, len(points))
	for i, pt := range points {
		xys[i] = plotter.XY{X: float64(pt.At.Unix()), Y: pt.Rate}
	}
	l, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	l.LineStyle = style
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// encodeSVG renders a plot as an SVG element without the XML prolog, which isn't
// allowed inside HTML.
func encodeSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	start := max(0, bytes.Index(b.Bytes(), []byte("<svg")))
	return template.HTML(b.Bytes()[start:]), nil // safe: the plot library escapes text
}

func formatWindow(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%d h", d/time.Hour)
	}
	return fmt.Sprintf("%d min", d/time.Minute)
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"title":   Title,
	"percent": func(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) },
	"rate":    func(f float64) string { return fmt.Sprintf("%.2f", f) },
	"name":    customerName,
}).Parse(pageText))

// customerName is CustomerName for templates: it accepts the *string of a
// burn.Objective and the string of a burn.Usage.
func customerName(v any) string {
	switch v := v.(type) {
	case string:
		return CustomerName(v)
	case *string:
		if v != nil {
			return CustomerName(*v)
		}
	}
	return ""
}

// CustomerName returns the display name of a customer. Requests without a key
// have an empty name and are shown as "(no key)".
func CustomerName(s string) string {
	if s == "" {
		return "(no key)"
	}
	return s
}

// Write renders the page as HTML.
func (p *Page) Write(w io.Writer) error {
	return pageTemplate.Execute(w, p)
}

const pageText = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>Burn report until {{.Report.Until.Format "2006-01-02 15:04"}} UTC</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 2em; }
th, td { border: 1px solid #bbb; padding: .25em .6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.page { background: #f6c6b6; } .ticket { background: #fbe6b8; }
</style>
</head>
<body>
<h1>Burn report until {{.Report.Until.Format "2006-01-02 15:04"}} UTC</h1>
{{range .Notes}}<p>{{.}}</p>
{{end}}<h2>Objectives</h2>
<table>
<tr><th>objective</th><th>requests</th><th>bad</th><th>refused inside the rate</th><th>budget left of 6 h</th><th>5 min</th><th>1 h</th><th>30 min</th><th>6 h</th><th>alert</th></tr>
{{range .Report.Objectives}}<tr class="{{.Alert}}"><td>{{title .}}</td><td>{{.Counts.Total}}</td><td>{{.Counts.Bad}}</td><td>{{.Counts.Inside}}</td><td>{{percent .BudgetLeft}}</td><td>{{rate .Burn.Min5}}</td><td>{{rate .Burn.Hour1}}</td><td>{{rate .Burn.Min30}}</td><td>{{rate .Burn.Hour6}}</td><td>{{.Alert}}</td></tr>
{{end}}</table>
{{range .Plots}}<h3>{{.Title}}</h3>
{{.SVG}}
{{end}}<h2>Objectives by customer</h2>
<table>
<tr><th>objective</th><th>customer</th><th>requests</th><th>bad</th><th>budget left of 6 h</th><th>5 min</th><th>1 h</th><th>30 min</th><th>6 h</th><th>alert</th></tr>
{{range .Report.Customers}}<tr class="{{.Alert}}"><td>{{title .}}</td><td>{{name .Customer}}</td><td>{{.Counts.Total}}</td><td>{{.Counts.Bad}}</td><td>{{percent .BudgetLeft}}</td><td>{{rate .Burn.Min5}}</td><td>{{rate .Burn.Hour1}}</td><td>{{rate .Burn.Min30}}</td><td>{{rate .Burn.Hour6}}</td><td>{{.Alert}}</td></tr>
{{end}}</table>
<h2>Requests by customer</h2>
<table>
<tr><th>service</th><th>importance</th><th>customer</th><th>requests</th><th>bad</th><th>refused inside the rate</th><th>refused above the rate</th></tr>
{{range .Report.Usage}}<tr><td>{{.Service}}</td><td>{{.Importance}}</td><td>{{name .Customer}}</td><td>{{.Counts.Total}}</td><td>{{.Counts.Bad}}</td><td>{{.Counts.Inside}}</td><td>{{.Counts.Over}}</td></tr>
{{end}}</table>
</body>
</html>
`
