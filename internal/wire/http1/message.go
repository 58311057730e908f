// Package http1 frames HTTP/1.1 messages (RFC 9112) for a proxy: it finds whole messages in bytes that come in
// any pieces, and writes them.
//
// It is strict, since what two programs frame differently can be smuggled past one of them: a message with both
// a length and an encoding, with two lengths, a field name with spaces, a bare CR or a folded line is rejected,
// where section 11.2 leaves room for guessing. The package is pure: it keeps no connection and no clock.
package http1

import (
	"errors"
	"fmt"
	"strings"
)

// Limits bound a message; a larger one is rejected.
type Limits struct {
	Head   int // bytes, including the first line
	Body   int // bytes
	Fields int // header fields
}

// DefaultLimits are those of a proxy whose settings name none.
var DefaultLimits = Limits{Head: 16 << 10, Body: 1 << 20, Fields: 100}

// The status codes that have a meaning for framing or errors here. The package does not import net/http, to
// stay pure.
const (
	statusOK                  = 200
	statusNoContent           = 204
	statusNotModified         = 304
	statusBadRequest          = 400
	statusContentTooLarge     = 413
	statusExpectationFailed   = 417
	statusHeadTooLarge        = 431
	statusNotImplemented      = 501
	statusBadGateway          = 502
	statusVersionNotSupported = 505
)

// The methods that have a meaning for framing.
const (
	methodConnect = "CONNECT"
	methodGet     = "GET"
	methodHead    = "HEAD"
)

// ErrUnexpectedEnd reports that the peer closed the connection within a message.
var ErrUnexpectedEnd = errors.New("the message ends in the middle")

// Error reports a message that cannot be used. It is final for the connection.
type Error struct {
	Status int // with which a server answers the message
	Reason string
}

// Error returns why the message cannot be used.
func (e *Error) Error() string { return e.Reason }

func errorf(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Message is a request or a response.
type Message struct {
	Method         string // of a request
	Target         string // of a request
	Status         int    // of a response
	MinorVersion   int    // version: 0 for HTTP/1.0, 1 for HTTP/1.1
	Fields         []Field
	Body           []byte // points into the bytes that it was read from, unless it was chunked
	Close          bool   // the connection ends after the message
	ExpectContinue bool   // its sender waits for 100 (Continue) before it sends the body
	UntilClose     bool   // the body goes on until the connection ends
}

// Get returns the value of the first field of a name; empty if there is none.
func (m *Message) Get(name string) string {
	for _, field := range m.Fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}

// bodyless reports whether a response has no body, whatever its fields say.
func (m *Message) bodyless(requestMethod string) bool {
	return requestMethod == methodHead || m.Status < statusOK || m.Status == statusNoContent || m.Status == statusNotModified
}
