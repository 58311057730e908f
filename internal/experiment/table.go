package experiment

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"math"
	"strconv"

	"snowquay/internal/console"
)

// Forms of a table.
const (
	textForm = "text"
	csvForm  = "csv"
	jsonForm = "json"
)

// csvDigits is the number of significant digits in CSV tables.
const csvDigits = 6

// tableRow is the row of a group.
type tableRow struct {
	Fleet     string              `json:"Fleet"`
	Case      string              `json:"Case"`
	Arm       string              `json:"Arm"`
	Seeds     int                 `json:"Seeds"`
	Intervals map[string]Interval `json:"Figures"` // by name of the metric
}

// Table writes a table with a row for each group. The form is "csv" or "json"; any other value stands for text.
func Table(w io.Writer, groups []Group, form string) error {
	var rows []tableRow
	for _, group := range groups {
		row := tableRow{Fleet: group.Fleet, Case: group.Case, Arm: group.Arm, Seeds: len(group.Records), Intervals: map[string]Interval{}}
		for _, metric := range Metrics {
			row.Intervals[metric.Name] = Estimate(group.values(metric))
		}
		rows = append(rows, row)
	}
	switch form {
	case jsonForm:
		return writeJSON(w, rows)
	case csvForm:
		return writeCSV(w, rows)
	default:
		writeText(w, rows)
		return nil
	}
}

func writeJSON(w io.Writer, rows []tableRow) error {
	for _, row := range rows { // JSON cannot encode NaN
		for name, interval := range row.Intervals {
			if math.IsNaN(interval.HalfWidth) {
				interval.HalfWidth = 0
				row.Intervals[name] = interval
			}
		}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(rows)
}

func writeCSV(w io.Writer, rows []tableRow) error {
	writer := csv.NewWriter(w)
	header := []string{"fleet", "case", "arm", "seeds"}
	for _, metric := range Metrics {
		header = append(header, metric.Name, metric.Name+"-half")
	}
	if err := writer.Write(header); err != nil {
		return err
	}
	for _, row := range rows {
		fields := []string{row.Fleet, row.Case, row.Arm, strconv.Itoa(row.Seeds)}
		for _, metric := range Metrics {
			interval := row.Intervals[metric.Name]
			fields = append(fields, csvNumber(interval.Mean), csvNumber(interval.HalfWidth))
		}
		if err := writer.Write(fields); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

func csvNumber(value float64) string { return strconv.FormatFloat(value, 'g', csvDigits, 64) }

func writeText(w io.Writer, rows []tableRow) {
	console.Printf(w, "%-12s %-16s %-12s %5s", "fleet", "case", "arm", "seeds")
	for _, metric := range Metrics {
		console.Printf(w, " %11s", metric.Name)
	}
	console.Println(w)
	for _, row := range rows {
		console.Printf(w, "%-12s %-16s %-12s %5d", row.Fleet, row.Case, row.Arm, row.Seeds)
		for _, metric := range Metrics {
			console.Printf(w, " %11.4g", row.Intervals[metric.Name].Mean)
		}
		console.Println(w)
	}
}
