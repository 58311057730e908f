package delta

import (
	"reflect"
	"testing"

	"snowquay/internal/golden"
)

func TestTablesEncoding(t *testing.T) {
	admission := 0.75
	retryAfter := 1.5
	tables := Tables{Epoch: "00000000000000a1", Version: 12, Base: 11, PollWithin: 30, OwnershipEpoch: 4, Classes: []Class{{Class: "search", Full: true,
		Entries: []Entry{{Server: "127.0.1.2:8080", Weight: 1.5, Draining: true}}, Admission: &admission, Retry: "proof", RetryAfter: &retryAfter}}}
	golden.JSON(t, "tables.json", tables)
	for name, media := range map[string]string{"tables.json": JSON, "tables.cbor": CBOR} {
		b, err := Append(nil, media, &tables)
		if err != nil {
			t.Fatal(err)
		}
		golden.Bytes(t, name, b)
		var decoded Tables
		if err := Decode(golden.Read(t, name), media, &decoded); err != nil || !reflect.DeepEqual(decoded, tables) {
			t.Errorf("%s: decoded %+v, error %v", name, decoded, err)
		}
	}
}

func TestProblemEncoding(t *testing.T) {
	golden.JSON(t, "problem.json", Problem{Type: "urn:x", Title: "Conflict", Status: 409, Detail: "why", RetryAfter: 2.5})
}
