package experiment

import (
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"snowquay/internal/console"
)

// Metric is a number derived from a record, by which groups are compared.
type Metric struct {
	Name  string
	Value func(*Record) float64
}

// Metrics lists the metrics in the order in which tables show them.
var Metrics = []Metric{
	{"service", func(r *Record) float64 { return r.Service }},
	{"worst10s", func(r *Record) float64 { return r.WorstTenSeconds }},
	{"worstclass", func(r *Record) float64 { return r.WorstClass }},
	{"p50", func(r *Record) float64 { return worstLatency(r, func(c ClassRecord) float64 { return c.P50 }) }},
	{"p99", func(r *Record) float64 { return worstLatency(r, func(c ClassRecord) float64 { return c.P99 }) }},
	{"held50", func(r *Record) float64 { return r.AckedP50 }},
	{"held99", func(r *Record) float64 { return r.AckedP99 }},
	{"drained", func(r *Record) float64 { return r.DrainTime }},
	{"led", func(r *Record) float64 { return r.TakeoverMax }},
	{"lines/s", func(r *Record) float64 { return float64(r.Entries) / r.Seconds }},
	{"waiting", func(r *Record) float64 { return r.PeakQueue }},
	{"broken", func(r *Record) float64 { return float64(len(r.Broken())) }},
}

// worstLatency returns the highest latency of all classes.
func worstLatency(record *Record, latency func(ClassRecord) float64) float64 {
	worst := 0.0
	for _, class := range record.Classes {
		worst = max(worst, latency(class))
	}
	return worst
}

func findMetric(name string) (Metric, bool) {
	i := slices.IndexFunc(Metrics, func(m Metric) bool { return m.Name == name })
	if i < 0 {
		return Metric{}, false
	}
	return Metrics[i], true
}

// Interval is a mean with its 95% confidence interval by Student's t-distribution.
type Interval struct {
	Mean      float64 `json:"Mean"`
	HalfWidth float64 `json:"Half"` // half the width of the interval; NaN for fewer than two observations
	N         int     `json:"N"`    // number of observations
}

// confidenceQuantile is the quantile of the t-distribution for a two-sided 95% interval.
const confidenceQuantile = 0.975

// Estimate returns the mean of observations with its confidence interval. The mean of no observations is NaN.
func Estimate(observations []float64) Interval {
	count := len(observations)
	if count == 0 {
		return Interval{Mean: math.NaN(), HalfWidth: math.NaN()}
	}
	mean, deviation := stat.MeanStdDev(observations, nil)
	if count == 1 {
		return Interval{Mean: mean, HalfWidth: math.NaN(), N: 1}
	}
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(count - 1)}.Quantile(confidenceQuantile)
	return Interval{Mean: mean, HalfWidth: student * deviation / math.Sqrt(float64(count)), N: count}
}

// Significant reports whether the interval excludes zero.
func (i Interval) Significant() bool { return i.N > 1 && math.Abs(i.Mean) > i.HalfWidth }

// Difference is the mean difference of a metric between two arms, over the seeds for which both have records.
type Difference struct {
	Fleet  string
	Case   string
	Metric string
	Interval
}

// Compare returns the differences of the arm other from the arm base. Records are paired by seed, since both arms ran
// the same scenario.
func Compare(groups []Group, base, other string) []Difference {
	var differences []Difference
	for _, group := range groups {
		if group.Arm != base {
			continue
		}
		i := slices.IndexFunc(groups, func(g Group) bool { return g.Arm == other && g.Fleet == group.Fleet && g.Case == group.Case })
		if i >= 0 {
			differences = append(differences, compareGroups(group, groups[i])...)
		}
	}
	return differences
}

func compareGroups(base, other Group) []Difference {
	bySeed := map[uint64]*Record{}
	for _, record := range other.Records {
		bySeed[record.Seed] = record
	}
	var differences []Difference
	for _, metric := range Metrics {
		var paired []float64
		for _, record := range base.Records {
			if counterpart := bySeed[record.Seed]; counterpart != nil {
				paired = append(paired, metric.Value(counterpart)-metric.Value(record))
			}
		}
		if len(paired) > 0 {
			difference := Difference{Fleet: base.Fleet, Case: base.Case, Metric: metric.Name, Interval: Estimate(paired)}
			differences = append(differences, difference)
		}
	}
	return differences
}

// PrintDifferences writes differences as a table, with a star beside significant ones.
func PrintDifferences(w io.Writer, differences []Difference, base, other string) {
	console.Printf(w, "%s less %s, by paired seeds, 95%% intervals; * leaves zero out (simulated servers)\n", other, base)
	for _, each := range differences {
		star := " "
		if each.Significant() {
			star = "*"
		}
		console.Printf(w, "%-14s %-16s %-11s %s %+10.4f +- %.4f (%d)\n", each.Fleet, each.Case, each.Metric, star, each.Mean, each.HalfWidth, each.N)
	}
}
