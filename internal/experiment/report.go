package experiment

import (
	"errors"
	"fmt"
	"html"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"

	"snowquay/internal/settings"
)

// ErrNoRecords means that a folder has no records to report on.
var ErrNoRecords = errors.New("the folder has no records")

// sizeMetrics lists the metrics that are plotted against the number of servers.
var sizeMetrics = []string{"service", "held99", "lines/s"}

// reportWriter writes the files of a report and builds its HTML page.
type reportWriter struct {
	folder  string
	written []string
	page    strings.Builder
}

// Report writes tables (text, CSV, JSON), charts (SVG) and a self-contained HTML page with the text table and the
// charts into the folder. It returns the paths of the files in alphabetical order, or ErrNoRecords.
func Report(folder *Folder, experiment *settings.Experiment) ([]string, error) {
	records, err := folder.Records(experiment)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return nil, ErrNoRecords
	}
	groups := Groups(experiment, records)
	writer := &reportWriter{folder: filepath.Join(folder.path, reportFolder)}
	if err := os.MkdirAll(writer.folder, folderMode); err != nil {
		return nil, err
	}
	title := html.EscapeString(experiment.Name)
	fmt.Fprintf(&writer.page, "<!doctype html><meta charset=utf-8><title>%s</title><h1>%s</h1><p>%d plays of simulated servers.</p>\n",
		title, title, len(records))
	if err := writer.addTables(groups); err != nil {
		return nil, err
	}
	if err := writer.addCharts(experiment, groups); err != nil {
		return nil, err
	}
	if err := writer.writeText("index.html", writer.page.String()); err != nil {
		return nil, err
	}
	slices.Sort(writer.written)
	return writer.written, nil
}

// writeFile creates a file of the report and writes its content.
func (w *reportWriter) writeFile(name string, write func(io.Writer) error) error {
	path := filepath.Join(w.folder, name)
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w.written = append(w.written, path)
	return errors.Join(write(file), file.Close())
}

func (w *reportWriter) writeText(name, text string) error {
	return w.writeFile(name, func(file io.Writer) error {
		_, err := io.WriteString(file, text)
		return err
	})
}

// addTables writes the table in all forms, and adds the text form to the page.
func (w *reportWriter) addTables(groups []Group) error {
	for _, table := range []struct{ form, file string }{
		{textForm, "table.txt"},
		{csvForm, "table.csv"},
		{jsonForm, "table.json"},
	} {
		if err := w.writeFile(table.file, func(file io.Writer) error { return Table(file, groups, table.form) }); err != nil {
			return err
		}
	}
	var text strings.Builder
	if err := Table(&text, groups, textForm); err != nil {
		return err
	}
	fmt.Fprintf(&w.page, "<pre>%s</pre>\n", html.EscapeString(text.String()))
	return nil
}

// addCharts writes the charts of all cases. Charts by the number of servers require at least two fleets.
func (w *reportWriter) addCharts(experiment *settings.Experiment, groups []Group) error {
	for _, each := range experiment.Cases {
		tail, err := latencyTails(groups, each.Name)
		if err != nil {
			return err
		}
		if err := w.addChart("tail-"+each.Name, tail); err != nil {
			return err
		}
		if len(experiment.Fleets) < 2 {
			continue
		}
		for _, metric := range sizeMetrics {
			bySize, err := metricBySize(experiment, groups, each.Name, metric)
			if err != nil {
				return err
			}
			if err := w.addChart(strings.ReplaceAll(metric, "/", "-per-")+"-"+each.Name, bySize); err != nil {
				return err
			}
		}
	}
	return nil
}

// addChart writes a chart as an SVG file, and adds it to the page.
func (w *reportWriter) addChart(name string, chart *plot.Plot) error {
	canvas, err := chart.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return err
	}
	var svg strings.Builder
	if _, err := canvas.WriteTo(&svg); err != nil {
		return err
	}
	if start := strings.Index(svg.String(), "<svg"); start >= 0 {
		fmt.Fprintf(&w.page, "%s\n", svg.String()[start:])
	}
	return w.writeText(name+".svg", svg.String())
}
