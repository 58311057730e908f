// Package collector parses and encodes the messages between the collectors of the platform and a coordinator.
//
// A collector forwards the reports of the proxies in a zone. Each message is an array of strings in the encoding of
// package resp: a kind, followed by pairs of a field name and a value. The package does no I/O and reads no clock. It
// maps the names of the protocol to the terms used in the rest of the program.
package collector

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"snowquay/internal/wire/resp"
)

// Limits of the values in a report. A report with a value beyond its limit is malformed.
const (
	maxRequests   = 1e6  // requests or attempts in one report
	minIntervalMS = 1    // length of the reporting interval in milliseconds
	maxIntervalMS = 60e3 // length of the reporting interval in milliseconds
	maxLatencyMS  = 60e3 // mean latency in milliseconds
)

// ErrMalformed reports a message with a missing or invalid field.
var ErrMalformed = errors.New("malformed collector message")

// Kind is the type of a Message.
type Kind int

// Kinds of messages.
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

// Message is a message whose kind is known and whose fields have not been parsed yet. It refers to the elements given
// to Parse and is valid only as long as they are.
type Message struct {
	Kind   Kind
	fields [][]byte
}

// Parse determines the kind of a message. There must be at least one element.
func Parse(elements [][]byte) Message {
	return Message{Kind: kinds[string(elements[0])], fields: elements[1:]}
}

// Hello is the first message of a collector. Zone is the zone of its proxies; it is empty if the field is absent.
type Hello struct{ Zone string }

// UpstreamReport contains the results of the attempts that the proxies of a zone made at one server.
type UpstreamReport struct {
	Zone     string
	Server   string
	Attempts float64
	Failed   float64    // number of failed attempts
	Latency  float64    // mean latency of the successful attempts in seconds
	Interval float64    // length of the reporting interval in seconds
	Load     LoadReport // load reported by the server; nil if absent
}

// DemandReport counts the requests of one class that one proxy received.
type DemandReport struct {
	Proxy    int
	Class    string
	Requests float64
	Failed   float64 // number of failed requests
	Interval float64 // length of the reporting interval in seconds
}

// Hello parses the fields of the first message of a collector.
func (m Message) Hello() (Hello, error) {
	if len(m.fields)%2 != 0 {
		return Hello{}, fmt.Errorf("%w: field name without a value", ErrMalformed)
	}
	zone, _ := m.find("az")
	return Hello{Zone: string(zone)}, nil
}

// UpstreamReport parses the fields of an upstream report.
func (m Message) UpstreamReport() (UpstreamReport, error) {
	fields := newFieldReader(m)
	report := UpstreamReport{
		Zone:     fields.text("az"),
		Server:   fields.text("host"),
		Attempts: fields.number("n", 0, maxRequests),
		Failed:   fields.number("bad", 0, maxRequests),
		Interval: fields.number("window", minIntervalMS, maxIntervalMS) / 1000,
	}
	// The mean latency may be absent if no attempt succeeded.
	if _, ok := m.find("avg"); ok || report.Failed < report.Attempts {
		report.Latency = fields.number("avg", 0, maxLatencyMS) / 1000
	}
	if text, ok := m.find("report"); ok {
		load, err := ParseLoadReport(text, ':')
		fields.fail(err)
		report.Load = load
	}
	fields.check(report.Failed <= report.Attempts)
	return report, fields.err
}

// DemandReport parses the fields of a demand report.
func (m Message) DemandReport() (DemandReport, error) {
	fields := newFieldReader(m)
	proxy, err := strconv.Atoi(fields.text("sidecar"))
	fields.fail(err)
	report := DemandReport{
		Proxy:    proxy,
		Class:    fields.text("kind"),
		Requests: fields.number("n", 0, maxRequests),
		Failed:   fields.number("bad", 0, maxRequests),
		Interval: fields.number("window", minIntervalMS, maxIntervalMS) / 1000,
	}
	fields.check(report.Failed <= report.Requests)
	return report, fields.err
}

// find returns the value of the first field with the given name.
func (m Message) find(name string) ([]byte, bool) {
	for i := 0; i+1 < len(m.fields); i += 2 {
		if string(m.fields[i]) == name {
			return m.fields[i+1], true
		}
	}
	return nil, false
}

// fieldReader parses the fields of a message and stores the first error.
type fieldReader struct {
	message Message
	err     error
}

func newFieldReader(m Message) *fieldReader {
	reader := &fieldReader{message: m}
	if len(m.fields)%2 != 0 {
		reader.err = fmt.Errorf("%w: field name without a value", ErrMalformed)
	}
	return reader
}

// fail records that the message is malformed, unless err is nil.
func (r *fieldReader) fail(err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
}

// check records that the message is malformed if its values are not consistent.
func (r *fieldReader) check(consistent bool) {
	if !consistent && r.err == nil {
		r.err = fmt.Errorf("%w: inconsistent values", ErrMalformed)
	}
}

// text returns the value of a required field.
func (r *fieldReader) text(name string) string {
	value, ok := r.message.find(name)
	if !ok && r.err == nil {
		r.err = fmt.Errorf("%w: field %q is missing", ErrMalformed, name)
	}
	return string(value)
}

// number returns the value of a required field, which must be a number from lowest to highest.
func (r *fieldReader) number(name string, lowest, highest float64) float64 {
	value, ok := parseNumber(r.text(name))
	if (!ok || value < lowest || value > highest) && r.err == nil {
		r.err = fmt.Errorf("%w: field %q is not a number from %g to %g", ErrMalformed, name, lowest, highest)
	}
	return value
}

// parseNumber parses a finite, non-negative number.
func parseNumber(text string) (float64, bool) {
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && value >= 0 && !math.IsInf(value, 0)
}

// AppendReady appends the response to a readiness check.
func AppendReady(b []byte) []byte { return resp.Append(b, "hb_ok") }

// AppendRejection appends the message that a client is sent before the coordinator closes its connection.
func AppendRejection(b []byte) []byte { return resp.Append(b, "reject") }
