package burn

import (
	"fmt"
	"html/template"
	"io"
	"sort"
	"time"

	"crocusseam/pkg/document"
)

// Windows over which burn rates are reported. A budget that burns fast over the
// short and the long window at once calls for action now.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Burn rates that call for action.
const (
	pageRate   = 14.4 // uses up a month's budget in two days
	ticketRate = 6.0
)

// Level is the state of one team's service level in one class.
type Level struct {
	Team      string
	Class     string
	Objective string
	Target    float64 // percent
	Windows   []WindowBurn
	Alarm     string `json:",omitempty"`
	Series    []Count
}

// WindowBurn is the use of the budget over a window. A rate of 1 uses it up
// exactly at the end of its period.
type WindowBurn struct {
	Window string
	Jobs   int64
	Missed int64
	Rate   float64
	MeanMS float64
}

// EndpointState is an endpoint that does worse than others.
type EndpointState struct {
	Address  string
	Instance string
	Speed    float64
	Failures int
	Ejected  bool
}

// Report is the report on service-level burn.
type Report struct {
	Environment  string
	At           time.Time
	Levels       []Level
	WastedByKind map[string]uint64
	Starts       uint64
	Worst        []EndpointState
}

// NewReport sums the sheets of all instances, of those that are gone too.
func NewReport(environment string, d *document.Document, sheets []Sheet, now time.Time) *Report {
	r := &Report{Environment: environment, At: now.UTC().Round(time.Second)}
	merged := merge(sheets)
	for _, key := range levelKeys(merged) {
		class := classOf(d, key.class)
		level := Level{
			Team: key.team, Class: key.class, Target: class.ObjectivePercent,
			Objective: time.Duration(class.Objective).String(), Series: merged[key],
		}
		for _, w := range Windows {
			level.Windows = append(level.Windows, burnOver(merged[key], class.ObjectivePercent, w, now))
		}
		level.Alarm = alarm(level.Windows)
		r.Levels = append(r.Levels, level)
	}
	return r
}

type levelKey struct{ team, class string }

// merge adds up the counts of all sheets by level and bucket.
func merge(sheets []Sheet) map[levelKey][]Count {
	sums := make(map[countKey]*Count)
	for _, s := range sheets {
		for _, c := range s.Counts {
			key := countKey{c.Team, c.Class, c.Start}
			sum, ok := sums[key]
			if !ok {
				sum = &Count{Team: c.Team, Class: c.Class, Start: c.Start}
				sums[key] = sum
			}
			sum.Jobs += c.Jobs
			sum.Missed += c.Missed
			sum.SumNanos += c.SumNanos
		}
	}
	merged := make(map[levelKey][]Count)
	for _, c := range sums {
		key := levelKey{c.Team, c.Class}
		merged[key] = append(merged[key], *c)
	}
	for _, counts := range merged {
		sortCounts(counts)
	}
	return merged
}

func levelKeys(merged map[levelKey][]Count) []levelKey {
	keys := make([]levelKey, 0, len(merged))
	for k := range merged {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].team != keys[j].team {
			return keys[i].team < keys[j].team
		}
		return keys[i].class < keys[j].class
	})
	return keys
}

func classOf(d *document.Document, name string) document.Class {
	if d != nil {
		for _, c := range d.Classes {
			if c.Name == name {
				return c
			}
		}
	}
	return document.DefaultClass()
}

func burnOver(counts []Count, target float64, window time.Duration, now time.Time) WindowBurn {
	w := WindowBurn{Window: shortName(window)}
	var nanos int64
	for _, c := range counts {
		if now.Sub(c.Start) <= window {
			w.Jobs += c.Jobs
			w.Missed += c.Missed
			nanos += c.SumNanos
		}
	}
	if w.Jobs == 0 {
		return w
	}
	w.MeanMS = float64(nanos) / float64(w.Jobs) / float64(time.Millisecond)
	budget := max(100-target, 0.001) / 100
	w.Rate = float64(w.Missed) / float64(w.Jobs) / budget
	return w
}

// alarm looks at the short and the long window together: a spike that is over
// and a slow leak alone do not page.
func alarm(windows []WindowBurn) string {
	short, long := windows[0].Rate, windows[1].Rate
	switch {
	case short > pageRate && long > pageRate:
		return "page"
	case short > ticketRate && long > ticketRate:
		return "ticket"
	}
	return ""
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "Service-level burn of %s at %s\n\n", r.Environment, r.At.Format(time.RFC3339))
	_, _ = fmt.Fprintf(w, "%-14s %-10s %-12s %7s", "TEAM", "CLASS", "OBJECTIVE", "TARGET")
	for _, window := range Windows {
		_, _ = fmt.Fprintf(w, " %22s", "JOBS MISSED RATE "+shortName(window))
	}
	_, _ = fmt.Fprintln(w, "  ALARM")
	for _, l := range r.Levels {
		_, _ = fmt.Fprintf(w, "%-14s %-10s %-12s %6.2f%%", l.Team, l.Class, l.Objective, l.Target)
		for _, b := range l.Windows {
			_, _ = fmt.Fprintf(w, " %8d %6d %6.2f", b.Jobs, b.Missed, b.Rate)
		}
		_, _ = fmt.Fprintf(w, "  %s\n", l.Alarm)
	}
	_, _ = fmt.Fprintf(w, "\nWasted messages, of %d task starts:\n", r.Starts)
	for _, kind := range r.wastedKinds() {
		_, _ = fmt.Fprintf(w, "  %-18s %d\n", kind, r.WastedByKind[kind])
	}
	_, _ = fmt.Fprintln(w, "\nWorst endpoints:")
	for _, e := range r.Worst {
		_, _ = fmt.Fprintf(w, "  %-22s speed %.2f, failures in a row %d, ejected %t\n", e.Address, e.Speed, e.Failures, e.Ejected)
	}
}

func shortName(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dm", int(d.Minutes()))
}

// wastedKinds lists the kinds of waste, the largest first.
func (r *Report) wastedKinds() []string {
	kinds := make([]string, 0, len(r.WastedByKind))
	for k := range r.WastedByKind {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool {
		if r.WastedByKind[kinds[i]] != r.WastedByKind[kinds[j]] {
			return r.WastedByKind[kinds[i]] > r.WastedByKind[kinds[j]]
		}
		return kinds[i] < kinds[j]
	})
	return kinds
}

// bar is one bar of a plot, in the plot's units.
type bar struct {
	X, Width     float64
	Y, Height    float64
	MissedY      float64
	MissedHeight float64
	Label        string
}

// Measures of the plots.
const (
	plotWidth   = 720.0
	plotHeight  = 120.0
	plotMinutes = 60 // the last hour, by the minute
)

// bars draws the last hour: jobs, and those that missed the objective.
func (r *Report) bars(l Level) []bar {
	highest := int64(1)
	for _, c := range l.Series {
		highest = max(highest, c.Jobs)
	}
	var bars []bar
	width := plotWidth / plotMinutes
	for _, c := range l.Series {
		age := int(r.At.Sub(c.Start) / Bucket)
		if age < 0 || age >= plotMinutes {
			continue
		}
		height := plotHeight * float64(c.Jobs) / float64(highest)
		missed := plotHeight * float64(c.Missed) / float64(highest)
		bars = append(bars, bar{
			X: plotWidth - float64(age+1)*width, Width: width - 1, Y: plotHeight - height, Height: height,
			MissedY: plotHeight - missed, MissedHeight: missed,
			Label: fmt.Sprintf("%s: %d jobs, %d missed", c.Start.Format("15:04"), c.Jobs, c.Missed),
		})
	}
	return bars
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn of {{.Report.Environment}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;color:#1c2430;margin:2rem auto;max-width:960px;padding:0 1rem}
h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:2rem}table{border-collapse:collapse;width:100%}
th,td{text-align:right;padding:.3rem .6rem;border-bottom:1px solid #dde3ea}th:first-child,td:first-child,th:nth-child(2),td:nth-child(2){text-align:left}
th{font-weight:600;color:#4a5666}.page{background:#b3261e;color:#fff;padding:.1rem .5rem;border-radius:.3rem}
.ticket{background:#e0a100;padding:.1rem .5rem;border-radius:.3rem}.ok{color:#2e7d4f}
svg{background:#f5f7fa;width:100%;height:140px}.jobs{fill:#8fb3d9}.missed{fill:#b3261e}small{color:#4a5666}
</style></head><body>
<h1>Service-level burn of {{.Report.Environment}}</h1>
<p><small>{{.Report.At.Format "2006-01-02 15:04:05 MST"}}. A rate of 1 uses the error budget up exactly at the end of its period.</small></p>
<table><tr><th>Team</th><th>Class</th><th>Objective</th><th>Target</th>{{range .Windows}}<th>Rate {{.}}</th>{{end}}<th>Jobs 1h</th><th>Missed 1h</th><th>Mean 1h</th><th>Alarm</th></tr>
{{range .Levels}}<tr><td>{{.Level.Team}}</td><td>{{.Level.Class}}</td><td>{{.Level.Objective}}</td><td>{{printf "%.2f%%" .Level.Target}}</td>
{{range .Level.Windows}}<td>{{printf "%.2f" .Rate}}</td>{{end}}{{with index .Level.Windows 1}}<td>{{.Jobs}}</td><td>{{.Missed}}</td><td>{{printf "%.0f ms" .MeanMS}}</td>{{end}}
<td>{{if .Level.Alarm}}<span class="{{.Level.Alarm}}">{{.Level.Alarm}}</span>{{else}}<span class="ok">none</span>{{end}}</td></tr>{{end}}</table>
{{range .Levels}}<h2>{{.Level.Team}}, {{.Level.Class}}</h2><p><small>Jobs a minute over the last hour; red missed the objective.</small></p>
<svg viewBox="0 0 720 120" preserveAspectRatio="none">{{range .Bars}}<rect class="jobs" x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}"><title>{{.Label}}</title></rect><rect class="missed" x="{{.X}}" y="{{.MissedY}}" width="{{.Width}}" height="{{.MissedHeight}}"/>{{end}}</svg>{{end}}
<h2>Wasted messages</h2><p><small>Of {{.Report.Starts}} task starts, since the instances began.</small></p>
<table><tr><th>Kind</th><th></th><th>Messages</th></tr>{{range .Kinds}}<tr><td>{{.Name}}</td><td></td><td>{{.Count}}</td></tr>{{end}}</table>
<h2>Worst endpoints</h2><table><tr><th>Endpoint</th><th>Held by</th><th>Learned speed</th><th>Failures in a row</th><th>Ejected</th></tr>
{{range .Report.Worst}}<tr><td>{{.Address}}</td><td>{{.Instance}}</td><td>{{printf "%.2f" .Speed}}</td><td>{{.Failures}}</td><td>{{.Ejected}}</td></tr>{{end}}</table>
</body></html>
`))

type levelView struct {
	Level Level
	Bars  []bar
}

type kindView struct {
	Name  string
	Count uint64
}

// WriteHTML writes the report as one self-contained page with plots.
func (r *Report) WriteHTML(w io.Writer) error {
	var levels []levelView
	for _, l := range r.Levels {
		levels = append(levels, levelView{l, r.bars(l)})
	}
	var kinds []kindView
	for _, k := range r.wastedKinds() {
		kinds = append(kinds, kindView{k, r.WastedByKind[k]})
	}
	var windows []string
	for _, d := range Windows {
		windows = append(windows, shortName(d))
	}
	return pageTemplate.Execute(w, struct {
		Report  *Report
		Levels  []levelView
		Windows []string
		Kinds   []kindView
	}{r, levels, windows, kinds})
}
