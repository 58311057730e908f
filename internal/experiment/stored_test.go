package experiment

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snowquay/internal/golden"
)

func TestStoredRecord(t *testing.T) {
	record := Record{Experiment: "cold", Fleet: "small", Case: "roll", Arm: "new", Seed: 4, Version: "0123456789ab", Fingerprint: "f00d", Servers: 6, Relays: 8,
		Seconds: 60, Service: 0.9, WorstTenSeconds: 0.5, WorstClass: 0.25,
		Classes: []ClassRecord{{Class: "search", Requested: 100, Answered: 90, OnTime: 80, P50: 0.01, P90: 0.02, P99: 0.03, P999: 0.04,
			Times: []hdrhistogram.Bar{{From: 10, To: 11, Count: 7}}}},
		Rules:    []RuleRecord{{Rule: 3, Kept: true, Figure: "0.5 s", Reasons: []string{"late"}}},
		AckedP50: 0.1, AckedP99: 0.2, DrainTime: 0.3, TakeoverP50: 0.4, TakeoverMax: 0.5, Messages: 11, Entries: 12, FullTables: 13, PeakQueue: 14, Events: 15,
		Faults: []string{"crash"}}
	golden.JSON(t, "record.json", record)
	indented, err := json.MarshalIndent(&record, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "record-indented.json", indented)
}

// Records in a folder written by an earlier version can be read, are found under the names of their cells, and are
// encoded as before.
func TestStoredFolder(t *testing.T) {
	folder, experiment, err := OpenExisting("testdata/golden/folder")
	if err != nil {
		t.Fatal(err)
	}
	records, err := folder.Records(experiment)
	if err != nil {
		t.Fatal(err)
	}
	cells := Cells(experiment)
	if len(cells) == 0 || len(records) != len(cells) {
		t.Fatalf("%d records for %d cells", len(records), len(cells))
	}
	for _, cell := range cells {
		record := records[cell.Name()]
		again, err := json.MarshalIndent(record, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Bytes(t, "folder/runs/"+cell.Name()+".json", append(again, '\n'))
		if record.Service == 0 || len(record.Rules) == 0 || reflect.DeepEqual(*record, Record{}) {
			t.Errorf("%s: incomplete record %+v", cell.Name(), record)
		}
	}
}
