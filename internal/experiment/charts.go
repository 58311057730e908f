package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"snowquay/internal/settings"
)

const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
)

// armLatencies is a histogram of an arm's response times: numbers of responses by upper bound in microseconds.
type armLatencies struct {
	arm    string
	counts map[int64]int64
}

// latencyTails plots the share of responses that took longer than a given time, with a line for each arm, over all
// fleets and seeds of a case.
func latencyTails(groups []Group, caseName string) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = caseName + ": answers that took longer"
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = "part of answers"
	useLogScales(chart)
	chart.Legend.Top = true
	arms := latenciesByArm(groups, caseName)
	for i, arm := range arms {
		points := tailPoints(arm.counts)
		if len(points) < 2 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		chart.Add(line)
		chart.Legend.Add(arm.arm, line)
	}
	if len(arms) == 0 || chart.X.Min <= 0 || math.IsInf(chart.X.Min, 0) { // a logarithmic scale cannot show an empty range or values of 0
		useLinearScales(chart)
	}
	return chart, nil
}

func useLogScales(chart *plot.Plot) {
	chart.X.Scale = plot.LogScale{}
	chart.Y.Scale = plot.LogScale{}
	chart.X.Tick.Marker = plot.LogTicks{Prec: -1}
	chart.Y.Tick.Marker = plot.LogTicks{Prec: -1}
}

func useLinearScales(chart *plot.Plot) {
	chart.X.Scale = plot.LinearScale{}
	chart.Y.Scale = plot.LinearScale{}
	chart.X.Tick.Marker = plot.DefaultTicks{}
	chart.Y.Tick.Marker = plot.DefaultTicks{}
}

// latenciesByArm merges the latency histograms of a case by arm, in the order in which the arms first occur in groups.
func latenciesByArm(groups []Group, caseName string) []armLatencies {
	var arms []armLatencies
	for _, group := range groups {
		if group.Case != caseName {
			continue
		}
		i := slices.IndexFunc(arms, func(a armLatencies) bool { return a.arm == group.Arm })
		if i < 0 {
			i = len(arms)
			arms = append(arms, armLatencies{arm: group.Arm, counts: map[int64]int64{}})
		}
		for _, record := range group.Records {
			for _, class := range record.Classes {
				for _, bar := range class.Times {
					arms[i].counts[bar.To] += bar.Count
				}
			}
		}
	}
	return arms
}

// tailPoints returns the share of responses that took longer than each latency, in seconds. Points without responses
// above them are left out, since a logarithmic scale cannot show them.
func tailPoints(counts map[int64]int64) plotter.XYs {
	var latencies []int64
	total := int64(0)
	for latency, count := range counts {
		latencies = append(latencies, latency)
		total += count
	}
	slices.Sort(latencies)
	above := total
	var points plotter.XYs
	for _, latency := range latencies {
		above -= counts[latency]
		if above > 0 && latency > 0 {
			points = append(points, plotter.XY{X: float64(latency) / microsecondsPerSecond, Y: float64(above) / float64(total)})
		}
	}
	return points
}

// pointsWithErrors holds points with error bars.
type pointsWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// metricBySize plots a metric against the number of servers, with a line and confidence intervals for each arm.
func metricBySize(experiment *settings.Experiment, groups []Group, caseName, metricName string) (*plot.Plot, error) {
	metric, ok := findMetric(metricName)
	if !ok {
		return nil, fmt.Errorf("unknown metric %q", metricName)
	}
	chart := plot.New()
	chart.Title.Text = caseName + ": " + metricName
	chart.X.Label.Text = "servers"
	chart.Y.Label.Text = metricName
	chart.Legend.Top = true
	for i, arm := range experiment.Arms {
		points := sizePoints(experiment, groups, caseName, arm.Name, metric)
		if len(points.XYs) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points.XYs)
		if err != nil {
			return nil, err
		}
		bars, err := plotter.NewYErrorBars(points)
		if err != nil {
			return nil, err
		}
		color := plotutil.Color(i)
		line.Color = color
		dots.Color = color
		bars.Color = color
		chart.Add(line, dots, bars)
		chart.Legend.Add(arm.Name, line)
	}
	return chart, nil
}

// sizePoints returns a metric's mean and confidence interval for each fleet. Intervals of a single record have no
// width.
func sizePoints(experiment *settings.Experiment, groups []Group, caseName, arm string, metric Metric) pointsWithErrors {
	var points pointsWithErrors
	for _, fleet := range experiment.Fleets {
		for _, group := range groups {
			if group.Arm != arm || group.Case != caseName || group.Fleet != fleet.Name {
				continue
			}
			estimate := Estimate(group.values(metric))
			if math.IsNaN(estimate.HalfWidth) {
				estimate.HalfWidth = 0
			}
			points.XYs = append(points.XYs, plotter.XY{X: float64(fleet.Servers), Y: estimate.Mean})
			points.YErrors = append(points.YErrors, struct{ Low, High float64 }{estimate.HalfWidth, estimate.HalfWidth})
		}
	}
	return points
}
