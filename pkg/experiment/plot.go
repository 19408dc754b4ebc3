package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
)

const (
	barWidth   = vg.Length(10)
	plotHeight = 4 * vg.Inch
	perPattern = 0.9 * vg.Inch // width of the plot for each pattern
	axisTop    = 1.25          // above the highest credit of 1, for the legend
	labelAngle = 0.4           // radians
)

// Plot draws the credit of each pattern beside that of the central scheduler. The
// extension of the path sets the format: png, svg or pdf.
func Plot(path string, summaries []Summary) error {
	p := plot.New()
	p.Title.Text = "Credit by pattern"
	p.Y.Label.Text = "credit earned / owed"
	p.Y.Min, p.Y.Max = 0, axisTop
	p.Legend.Top = true
	series := []struct {
		name   string
		values plotter.Values
	}{{"measured", nil}, {"central scheduler, no faults", nil}}
	var names []string
	for _, s := range summaries {
		names = append(names, s.Pattern)
		series[0].values = append(series[0].values, s.Credit)
		series[1].values = append(series[1].values, s.Reference)
	}
	for i, s := range series {
		bars, err := plotter.NewBarChart(s.values, barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", s.name, err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(i)
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = labelAngle, text.XRight, text.YCenter
	if err := p.Save(perPattern*vg.Length(len(names)+2), plotHeight, path); err != nil {
		return fmt.Errorf("save the plot: %w", err)
	}
	return nil
}
