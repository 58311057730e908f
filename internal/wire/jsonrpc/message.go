// Package jsonrpc parses and encodes the protocol of the relay: JSON-RPC 2.0, one object per line.
//
// The package does no I/O and reads no clock. It maps the field names of the protocol to the terms used in the rest
// of the program, so that no other package depends on them.
package jsonrpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrUnknownLine reports a JSON object that is neither a response nor a notification.
var ErrUnknownLine = errors.New("line is neither a response nor a notification")

// Message is a parsed line from the relay: a *Response or an *Event.
type Message interface{ isMessage() }

// Response is the response of the relay to a call.
type Response struct {
	ID     uint64       // ID of the call
	Err    *RemoteError // nil if the call succeeded
	result json.RawMessage
}

// EventKind is the type of an Event.
type EventKind int

// Kinds of events.
const (
	UnknownEvent EventKind = iota // a method that this program does not use
	Heartbeat
	ProxyJoined
	ProxyLeft
	CommandsAcknowledged
)

var eventKinds = map[string]EventKind{
	"ping":   Heartbeat,
	"attach": ProxyJoined,
	"detach": ProxyLeft,
	"done":   CommandsAcknowledged,
}

// Event is a notification from the event stream of the relay. Fields that do not apply to its kind are zero.
type Event struct {
	Kind         EventKind
	Proxy        int     // -1 if the notification names no proxy
	Zone         string  // ProxyJoined: zone of the proxy
	ExpectedRate float64 // ProxyJoined: expected rate in requests per second
	DefaultTable bool    // ProxyJoined: the proxy holds only the default table
	AckID        int64   // CommandsAcknowledged: ID of the request for acknowledgements
	Latency      float64 // CommandsAcknowledged: seconds from the command to its effect
	Incomplete   bool    // a required field is absent or negative; Proxy and Zone are not checked
}

func (*Response) isMessage() {}
func (*Event) isMessage()    {}

// RemoteError is an error that the relay returned for a call.
type RemoteError struct{ Message string }

// malformedCall is the error message of the relay for a call that it cannot parse.
const malformedCall = "malformed"

// Error returns the error message of the relay.
func (e *RemoteError) Error() string { return e.Message }

// Malformed reports whether the relay could not parse the call.
func (e *RemoteError) Malformed() bool { return e.Message == malformedCall }

// envelope has the members of every line from the relay, whether response or notification.
type envelope struct {
	ID     *uint64         `json:"id"`
	Method string          `json:"method"`
	Result json.RawMessage `json:"result"`
	Error  json.RawMessage `json:"error"`
	Params json.RawMessage `json:"params"`
}

// params has the parameters of all kinds of notifications. Pointers distinguish absent fields from zero values.
type params struct {
	Proxy        *int     `json:"sidecar"`
	Zone         string   `json:"az"`
	ExpectedRate *float64 `json:"share"`
	DefaultTable *bool    `json:"standing"`
	AckID        *int64   `json:"version"`
	LatencyMS    *float64 `json:"lag_ms"`
}

// Parse parses one line. It returns ErrUnknownLine for an object that is neither a response nor a notification, and
// an error that wraps one of encoding/json for any other text.
func Parse(line []byte) (Message, error) {
	var fields envelope
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, fmt.Errorf("parse line from relay: %w", err)
	}
	switch {
	case fields.Method != "":
		return parseEvent(fields.Method, fields.Params)
	case fields.ID != nil && (fields.Result != nil || fields.Error != nil):
		return &Response{ID: *fields.ID, Err: parseError(fields.Error), result: fields.Result}, nil
	}
	return nil, ErrUnknownLine
}

func parseEvent(method string, text json.RawMessage) (Message, error) {
	var given params
	if len(text) > 0 {
		if err := json.Unmarshal(text, &given); err != nil {
			return nil, fmt.Errorf("parse parameters of notification %q: %w", method, err)
		}
	}
	event := &Event{Kind: eventKinds[method], Proxy: -1}
	if given.Proxy != nil {
		event.Proxy = *given.Proxy
	}
	switch event.Kind {
	case ProxyJoined:
		if given.ExpectedRate == nil || *given.ExpectedRate < 0 || given.DefaultTable == nil {
			event.Incomplete = true
			return event, nil
		}
		event.Zone = given.Zone
		event.ExpectedRate = *given.ExpectedRate
		event.DefaultTable = *given.DefaultTable
	case CommandsAcknowledged:
		if given.AckID == nil || given.LatencyMS == nil || *given.LatencyMS < 0 {
			event.Incomplete = true
			return event, nil
		}
		event.AckID = *given.AckID
		event.Latency = *given.LatencyMS / 1000
	}
	return event, nil
}

func parseError(text json.RawMessage) *RemoteError {
	if text == nil || bytes.Equal(text, []byte("null")) {
		return nil
	}
	message := errorMessage(text)
	if message == "" {
		return nil
	}
	return &RemoteError{Message: message}
}

// errorMessage returns the message of an error member, which is a string or an object with a message and optional
// data. An error of any other form is returned as its JSON text.
func errorMessage(text json.RawMessage) string {
	var plain string
	if json.Unmarshal(text, &plain) == nil && plain != "" {
		return plain
	}
	var object struct {
		Message string          `json:"message"`
		Data    json.RawMessage `json:"data"`
	}
	if json.Unmarshal(text, &object) == nil && object.Message != "" {
		return strings.TrimSpace(object.Message + " " + strings.Trim(string(object.Data), `"`))
	}
	return string(text)
}

// AcceptedCount returns the number of commands of a batch that the relay applied. ok is false if the call failed or
// its result has no valid count.
func (r *Response) AcceptedCount() (count int, ok bool) {
	var result struct {
		Accepted *int `json:"accepted"`
	}
	if r.Err != nil || json.Unmarshal(r.result, &result) != nil || result.Accepted == nil || *result.Accepted < 0 {
		return 0, false
	}
	return *result.Accepted, true
}
