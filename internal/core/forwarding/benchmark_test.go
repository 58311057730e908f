package forwarding

import (
	"fmt"
	"testing"

	"snowquay/internal/wire/delta"
)

func encodeBenchmarkTables(b *testing.B, entries, variant int) []byte {
	b.Helper()
	class := delta.Class{Class: "search", Full: entries > 1}
	for i := range entries {
		class.Entries = append(class.Entries, delta.Entry{
			Server: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
			Weight: float64(1 + (i+variant)%9),
		})
	}
	data, err := delta.Append(nil, delta.CBOR, &delta.Tables{Epoch: "a", Version: 2, Classes: []delta.Class{class}})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// Measures decoding and applying a delta with one entry, or the complete table of a class. Requests wait while a proxy does this.
func BenchmarkTable(b *testing.B) {
	for _, entries := range []int{1, 300, 5000} {
		b.Run(fmt.Sprint(entries, "-entries"), func(b *testing.B) {
			p := newTestProxy(b, 2, nil)
			variants := [][]byte{encodeBenchmarkTables(b, entries, 0), encodeBenchmarkTables(b, entries, 1)}
			i := 0
			for b.Loop() {
				i++
				var tables delta.Tables
				if err := delta.Decode(variants[i%2], delta.CBOR, &tables); err != nil {
					b.Fatal(err)
				}
				if _, _, err := p.Tables.Apply(1000, &tables); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Measures the handling of a request from arrival to response, without sockets.
func BenchmarkRequest(b *testing.B) {
	p := newTestProxy(b, 8, nil)
	now := 1000.0
	for b.Loop() {
		now += 1e-5
		_, actions := p.HandleRequest(now, Request{Class: idempotent})
		p.AttemptSucceeded(now, actions[0].Attempt)
	}
	b.ReportAllocs()
}
