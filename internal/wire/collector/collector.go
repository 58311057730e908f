// Package collector reads and writes the messages between the platform's collectors and a coordinator.
//
// A collector relays what the proxies of a zone report. Each message is an array of strings as package resp
// frames it: a kind, then pairs of a field's name and its value. The package is pure and maps the platform's
// names to the terms of the rest of the program.
package collector

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"snowquay/internal/wire/resp"
)

// Upper limits of a report's figures; a report beyond them is malformed.
const (
	maxRequests   = 1e6  // in one report
	maxIntervalMS = 60e3 // milliseconds that a report covers
	maxLatencyMS  = 60e3 // milliseconds
)

// ErrMalformed reports a message that lacks a field, or holds one that cannot be used.
var ErrMalformed = errors.New("malformed collector message")

// Kind says what a Message is.
type Kind int

// The kinds of messages.
const (
	UnknownKind Kind = iota
	ReadinessCheckKind
	HelloKind
	UpstreamReportKind
	DemandReportKind
)

var kinds = map[string]Kind{
	"hb":             ReadinessCheckKind,
	"telemetry":      HelloKind,
	"upstream_stats": UpstreamReportKind,
	"client_stats":   DemandReportKind,
}

// Message is a message whose fields have not been read yet. It is valid as long as the elements that it was
// made of.
type Message struct {
	Kind   Kind
	fields [][]byte
}

// Parse returns the message of at least one element.
func Parse(elements [][]byte) Message {
	return Message{Kind: kinds[string(elements[0])], fields: elements[1:]}
}

// Hello is the first message of a collector. It names the zone of its proxies; empty if the field is absent.
type Hello struct{ Zone string }

// UpstreamReport is what the proxies of a zone observed at one server.
type UpstreamReport struct {
	Zone     string
	Server   string
	Attempts float64
	Failed   float64    // of the attempts
	Latency  float64    // mean of the successful attempts, in seconds
	Interval float64    // covered by the report, in seconds
	Load     LoadReport // of the server; nil if there was none
}

// DemandReport is what one proxy received of one class.
type DemandReport struct {
	Proxy    int
	Class    string
	Requests float64
	Failed   float64 // of the requests
	Interval float64 // covered by the report, in seconds
}

// Hello reads the fields of a collector's first message.
func (m Message) Hello() (Hello, error) {
	if len(m.fields)%2 != 0 {
		return Hello{}, fmt.Errorf("%w: a field without a value", ErrMalformed)
	}
	zone, _ := m.find("az")
	return Hello{Zone: string(zone)}, nil
}

// UpstreamReport reads the fields of an upstream report.
func (m Message) UpstreamReport() (UpstreamReport, error) {
	fields := newFieldReader(m)
	report := UpstreamReport{
		Zone:     fields.text("az"),
		Server:   fields.text("host"),
		Attempts: fields.number("n", maxRequests),
		Failed:   fields.number("bad", maxRequests),
		Interval: fields.number("window", maxIntervalMS) / 1000,
	}
	// A report without successful attempts need not have a mean of them.
	if _, ok := m.find("avg"); ok || report.Failed < report.Attempts {
		report.Latency = fields.number("avg", maxLatencyMS) / 1000
	}
	if text, ok := m.find("report"); ok {
		load, err := ParseLoadReport(text, ':')
		fields.fail(err)
		report.Load = load
	}
	fields.check(report.Failed <= report.Attempts && report.Interval > 0)
	return report, fields.err
}

// DemandReport reads the fields of a demand report.
func (m Message) DemandReport() (DemandReport, error) {
	fields := newFieldReader(m)
	proxy, err := strconv.Atoi(fields.text("sidecar"))
	fields.fail(err)
	report := DemandReport{
		Proxy:    proxy,
		Class:    fields.text("kind"),
		Requests: fields.number("n", maxRequests),
		Failed:   fields.number("bad", maxRequests),
		Interval: fields.number("window", maxIntervalMS) / 1000,
	}
	fields.check(report.Failed <= report.Requests && report.Interval > 0)
	return report, fields.err
}

// find returns the value of the first field of a name.
func (m Message) find(name string) ([]byte, bool) {
	for i := 0; i+1 < len(m.fields); i += 2 {
		if string(m.fields[i]) == name {
			return m.fields[i+1], true
		}
	}
	return nil, false
}

// fieldReader reads the fields of a message and keeps the first error.
type fieldReader struct {
	message Message
	err     error
}

func newFieldReader(m Message) *fieldReader {
	reader := &fieldReader{message: m}
	if len(m.fields)%2 != 0 {
		reader.err = fmt.Errorf("%w: a field without a value", ErrMalformed)
	}
	return reader
}

// fail notes that the message is malformed, unless err is nil.
func (r *fieldReader) fail(err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
}

// check notes that the message is malformed if its figures contradict each other.
func (r *fieldReader) check(consistent bool) {
	if !consistent && r.err == nil {
		r.err = fmt.Errorf("%w: contradictory figures", ErrMalformed)
	}
}

// text returns the value of a field that has to be there.
func (r *fieldReader) text(name string) string {
	value, ok := r.message.find(name)
	if !ok && r.err == nil {
		r.err = fmt.Errorf("%w: no field %q", ErrMalformed, name)
	}
	return string(value)
}

// number returns the value of a field that has to be there and to lie between 0 and a limit.
func (r *fieldReader) number(name string, limit float64) float64 {
	value, ok := parseNumber(r.text(name))
	if (!ok || value > limit) && r.err == nil {
		r.err = fmt.Errorf("%w: field %q is no number from 0 to %g", ErrMalformed, name, limit)
	}
	return value
}

// parseNumber reads a finite number that is not negative.
func parseNumber(text string) (float64, bool) {
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && value >= 0 && !math.IsInf(value, 0)
}

// AppendReady appends the answer to a readiness check.
func AppendReady(b []byte) []byte { return resp.Append(b, "hb_ok") }

// AppendRejection appends the message that goes to a client before its connection is closed.
func AppendRejection(b []byte) []byte { return resp.Append(b, "reject") }
