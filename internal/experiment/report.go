package experiment

import (
	"errors"
	"fmt"
	"html"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"snowquay/internal/settings"
)

const (
	chartWide = 18 * vg.Centimeter
	chartHigh = 9 * vg.Centimeter
)

// Report writes tables (text, CSV, JSON), charts (SVG) and a page that has them all and opens without a network, into a folder.
func Report(f *Folder, x *settings.Experiment) (written []string, err error) {
	records, err := f.Records(x)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return nil, errors.New("nothing was played yet")
	}
	groups := Groups(x, records)
	at := filepath.Join(f.path, "report")
	if err := os.MkdirAll(at, 0o755); err != nil {
		return nil, err
	}
	put := func(name string, write func(io.Writer) error) error {
		file, err := os.Create(filepath.Join(at, name))
		if err != nil {
			return err
		}
		written = append(written, filepath.Join(at, name))
		return errors.Join(write(file), file.Close())
	}
	var page strings.Builder
	fmt.Fprintf(&page, "<!doctype html><meta charset=utf-8><title>%s</title><h1>%s</h1><p>%d plays of simulated servers.</p>\n",
		html.EscapeString(x.Name), html.EscapeString(x.Name), len(records))
	for form, name := range map[string]string{"text": "table.txt", "csv": "table.csv", "json": "table.json"} {
		if err := put(name, func(w io.Writer) error { return Table(w, groups, form) }); err != nil {
			return nil, err
		}
	}
	var text strings.Builder
	if err := Table(&text, groups, "text"); err != nil {
		return nil, err
	}
	fmt.Fprintf(&page, "<pre>%s</pre>\n", html.EscapeString(text.String()))
	chart := func(name string, p *plot.Plot) error {
		return put(name+".svg", func(w io.Writer) error {
			c, err := p.WriterTo(chartWide, chartHigh, "svg")
			if err != nil {
				return err
			}
			var svg strings.Builder
			if _, err := c.WriteTo(&svg); err != nil {
				return err
			}
			if i := strings.Index(svg.String(), "<svg"); i >= 0 {
				fmt.Fprintf(&page, "%s\n", svg.String()[i:])
			}
			_, err = io.WriteString(w, svg.String())
			return err
		})
	}
	for _, c := range x.Cases {
		p, err := tails(groups, c.Name)
		if err != nil {
			return nil, err
		}
		if err := chart("tail-"+c.Name, p); err != nil {
			return nil, err
		}
		if len(x.Fleets) < 2 {
			continue
		}
		for _, name := range []string{"service", "held99", "lines/s"} {
			p, err := sizes(x, groups, c.Name, name)
			if err != nil {
				return nil, err
			}
			if err := chart(strings.NewReplacer("/", "-per-").Replace(name)+"-"+c.Name, p); err != nil {
				return nil, err
			}
		}
	}
	if err := put("index.html", func(w io.Writer) error { _, err := io.WriteString(w, page.String()); return err }); err != nil {
		return nil, err
	}
	slices.Sort(written)
	return written, nil
}

// tails draws which part of answers took longer than a time, by arm, over all fleets and seeds of a case.
func tails(groups []Group, name string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = name + ": answers that took longer"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "part of answers"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	counts, order := map[string]map[int64]int64{}, []string{}
	for _, g := range groups {
		if g.Case != name {
			continue
		}
		if counts[g.Arm] == nil {
			counts[g.Arm] = map[int64]int64{}
			order = append(order, g.Arm)
		}
		for _, r := range g.Records {
			for _, c := range r.Classes {
				for _, b := range c.Times {
					counts[g.Arm][b.To] += b.Count
				}
			}
		}
	}
	for i, arm := range order {
		var at []int64
		all, above := int64(0), int64(0)
		for v, n := range counts[arm] {
			at = append(at, v)
			all += n
		}
		slices.Sort(at)
		above = all
		var line plotter.XYs
		for _, v := range at {
			if above -= counts[arm][v]; above > 0 && v > 0 {
				line = append(line, plotter.XY{X: float64(v) / 1e6, Y: float64(above) / float64(all)})
			}
		}
		if len(line) < 2 {
			continue
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return nil, err
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(arm, l)
	}
	if len(order) == 0 || p.X.Min <= 0 || math.IsInf(p.X.Min, 0) { // nothing to be drawn on such scales
		p.X.Scale, p.Y.Scale = plot.LinearScale{}, plot.LinearScale{}
		p.X.Tick.Marker, p.Y.Tick.Marker = plot.DefaultTicks{}, plot.DefaultTicks{}
	}
	return p, nil
}

// sizes draws a figure by the number of servers, by arm, with intervals.
func sizes(x *settings.Experiment, groups []Group, name, what string) (*plot.Plot, error) {
	f, ok := figure(what)
	if !ok {
		return nil, fmt.Errorf("no figure is named %q", what)
	}
	p := plot.New()
	p.Title.Text = name + ": " + what
	p.X.Label.Text, p.Y.Label.Text = "servers", what
	p.Legend.Top = true
	for i, a := range x.Arms {
		var pts plotter.XYs
		var bars plotter.YErrors
		for _, fleet := range x.Fleets {
			for _, g := range groups {
				if g.Arm != a.Name || g.Case != name || g.Fleet != fleet.Name {
					continue
				}
				var v []float64
				for _, r := range g.Records {
					v = append(v, f.Value(r))
				}
				e := Estimate(v)
				if math.IsNaN(e.HalfWidth) {
					e.HalfWidth = 0
				}
				pts = append(pts, plotter.XY{X: float64(fleet.Servers), Y: e.Mean})
				bars = append(bars, struct{ Low, High float64 }{e.HalfWidth, e.HalfWidth})
			}
		}
		if len(pts) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(pts)
		if err != nil {
			return nil, err
		}
		errs, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{pts, bars})
		if err != nil {
			return nil, err
		}
		line.Color, dots.Color, errs.Color = plotutil.Color(i), plotutil.Color(i), plotutil.Color(i)
		p.Add(line, dots, errs)
		p.Legend.Add(a.Name, line)
	}
	return p, nil
}
