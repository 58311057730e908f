package experiment

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"io"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"snowquay/internal/console"
)

// Metric of a record that is compared.
type Metric struct {
	Name  string
	Value func(*Record) float64
}

// Metrics that tables have.
var Metrics = []Metric{
	{"service", func(r *Record) float64 { return r.Service }},
	{"worst10s", func(r *Record) float64 { return r.WorstTenSeconds }},
	{"worstclass", func(r *Record) float64 { return r.WorstClass }},
	{"p50", func(r *Record) float64 { return tail(r, func(c ClassRecord) float64 { return c.P50 }) }},
	{"p99", func(r *Record) float64 { return tail(r, func(c ClassRecord) float64 { return c.P99 }) }},
	{"held50", func(r *Record) float64 { return r.AckedP50 }},
	{"held99", func(r *Record) float64 { return r.AckedP99 }},
	{"drained", func(r *Record) float64 { return r.DrainTime }},
	{"led", func(r *Record) float64 { return r.TakeoverMax }},
	{"lines/s", func(r *Record) float64 { return float64(r.Lines) / r.Seconds }},
	{"waiting", func(r *Record) float64 { return r.PeakQueue }},
	{"broken", func(r *Record) float64 { return float64(len(r.Broken())) }},
}

// tail is a time of the class in which it is longest.
func tail(r *Record, of func(ClassRecord) float64) (most float64) {
	for _, c := range r.Classes {
		most = max(most, of(c))
	}
	return most
}

// Find a figure by its name.
func figure(name string) (Metric, bool) {
	i := slices.IndexFunc(Metrics, func(f Metric) bool { return f.Name == name })
	if i < 0 {
		return Metric{}, false
	}
	return Metrics[i], true
}

// Interval is a mean with the half of its 95% interval by Student's distribution; of one value that is not a number.
type Interval struct {
	Mean      float64 `json:"Mean"`
	HalfWidth float64 `json:"Half"` // half of the interval's width
	N         int     `json:"N"`    // number of observations
}

// Estimate of a mean.
func Estimate(v []float64) Interval {
	n := len(v)
	if n == 0 {
		return Interval{math.NaN(), math.NaN(), 0}
	}
	mean, sd := stat.MeanStdDev(v, nil)
	if n == 1 {
		return Interval{mean, math.NaN(), 1}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975)
	return Interval{mean, t * sd / math.Sqrt(float64(n)), n}
}

// Significant tells whether the interval leaves zero out.
func (i Interval) Significant() bool { return i.N > 1 && math.Abs(i.Mean) > i.HalfWidth }

// Difference of two arms in one figure, over the seeds that both have.
type Difference struct {
	Fleet, Case, Metric string
	Interval
}

// Compare two arms: each seed is a pair, since both saw the same day.
func Compare(groups []Group, base, other string) (all []Difference) {
	for _, g := range groups {
		if g.Arm != base {
			continue
		}
		i := slices.IndexFunc(groups, func(o Group) bool { return o.Arm == other && o.Fleet == g.Fleet && o.Case == g.Case })
		if i < 0 {
			continue
		}
		seeds := map[uint64]*Record{}
		for _, r := range groups[i].Records {
			seeds[r.Seed] = r
		}
		for _, f := range Metrics {
			var d []float64
			for _, r := range g.Records {
				if o := seeds[r.Seed]; o != nil {
					d = append(d, f.Value(o)-f.Value(r))
				}
			}
			if len(d) > 0 {
				all = append(all, Difference{g.Fleet, g.Case, f.Name, Estimate(d)})
			}
		}
	}
	return all
}

// PrintDifferences as a table; those that are sure have a star.
func PrintDifferences(w io.Writer, all []Difference, base, other string) {
	console.Printf(w, "%s less %s, by paired seeds, 95%% intervals; * leaves zero out (simulated servers)\n", other, base)
	for _, d := range all {
		star := " "
		if d.Significant() {
			star = "*"
		}
		console.Printf(w, "%-14s %-16s %-11s %s %+10.4f +- %.4f (%d)\n", d.Fleet, d.Case, d.Metric, star, d.Mean, d.HalfWidth, d.N)
	}
}

// Table of groups in a form: text, csv or json.
func Table(w io.Writer, groups []Group, form string) error {
	type row struct {
		Fleet   string              `json:"Fleet"`
		Case    string              `json:"Case"`
		Arm     string              `json:"Arm"`
		Seeds   int                 `json:"Seeds"`
		Figures map[string]Interval `json:"Figures"`
	}
	var rows []row
	for _, g := range groups {
		r := row{g.Fleet, g.Case, g.Arm, len(g.Records), map[string]Interval{}}
		for _, f := range Metrics {
			var v []float64
			for _, x := range g.Records {
				v = append(v, f.Value(x))
			}
			r.Figures[f.Name] = Estimate(v)
		}
		rows = append(rows, r)
	}
	switch form {
	case "json":
		for _, r := range rows { // what is not a number has no form there
			for name, v := range r.Figures {
				if math.IsNaN(v.HalfWidth) {
					v.HalfWidth = 0
					r.Figures[name] = v
				}
			}
		}
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(rows)
	case "csv":
		c := csv.NewWriter(w)
		head := []string{"fleet", "case", "arm", "seeds"}
		for _, f := range Metrics {
			head = append(head, f.Name, f.Name+"-half")
		}
		if err := c.Write(head); err != nil {
			return err
		}
		for _, r := range rows {
			line := []string{r.Fleet, r.Case, r.Arm, strconv.Itoa(r.Seeds)}
			for _, f := range Metrics {
				v := r.Figures[f.Name]
				line = append(line, strconv.FormatFloat(v.Mean, 'g', 6, 64), strconv.FormatFloat(v.HalfWidth, 'g', 6, 64))
			}
			if err := c.Write(line); err != nil {
				return err
			}
		}
		c.Flush()
		return c.Error()
	}
	console.Printf(w, "%-12s %-16s %-12s %5s", "fleet", "case", "arm", "seeds")
	for _, f := range Metrics {
		console.Printf(w, " %11s", f.Name)
	}
	console.Println(w)
	for _, r := range rows {
		console.Printf(w, "%-12s %-16s %-12s %5d", r.Fleet, r.Case, r.Arm, r.Seeds)
		for _, f := range Metrics {
			console.Printf(w, " %11.4g", r.Figures[f.Name].Mean)
		}
		console.Println(w)
	}
	return nil
}

// Pair of kinds of troubles, and what days with both came to.
type Pair struct {
	A, B    string
	Service Interval
	Broken  int
}

// Pairs of kinds that came together on the days of records, the worst first.
func Pairs(records map[string]*Record) (all []Pair) {
	at := map[[2]string][]*Record{}
	for _, r := range Worst(records) {
		seen := map[[2]string]bool{}
		for i, a := range r.Faults {
			for _, b := range r.Faults[i+1:] {
				k := [2]string{min(a, b), max(a, b)}
				if !seen[k] {
					seen[k] = true
					at[k] = append(at[k], r)
				}
			}
		}
	}
	for k, list := range at {
		p := Pair{A: k[0], B: k[1]}
		var v []float64
		for _, r := range list {
			v = append(v, r.Service)
			if len(r.Broken()) > 0 {
				p.Broken++
			}
		}
		p.Service = Estimate(v)
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Broken, a.Broken), cmp.Compare(a.Service.Mean, b.Service.Mean), cmp.Compare(a.A+a.B, b.A+b.B))
	})
	return all
}
