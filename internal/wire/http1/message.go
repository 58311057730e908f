// Package http1 parses and encodes HTTP/1.1 messages (RFC 9112) for a proxy. It finds complete messages in data that
// is received in fragments of any size.
//
// It is strict, to prevent request smuggling (section 11.2), which exploits that two programs frame a message
// differently. It rejects a message with both a length and an encoding, with two lengths, with spaces in a
// field name, with a bare CR or with a folded line, where section 11.2 leaves room for interpretation. The package
// does no I/O and reads no clock.
package http1

import (
	"errors"
	"fmt"
	"strings"
)

// Limits are the upper limits of a message. A message that exceeds them is rejected.
type Limits struct {
	Head   int // size of the head in bytes, including the first line
	Body   int // size of the body in bytes
	Fields int // number of header fields
}

// DefaultLimits are the limits of a proxy whose settings contain none.
var DefaultLimits = Limits{Head: 16 << 10, Body: 1 << 20, Fields: 100}

// Status codes that affect the framing or are used in errors. The package does not import net/http, because it does
// no I/O.
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

// Methods that affect the framing.
const (
	methodConnect = "CONNECT"
	methodGet     = "GET"
	methodHead    = "HEAD"
)

// ErrUnexpectedEnd reports that the peer closed the connection before the end of a message.
var ErrUnexpectedEnd = errors.New("connection closed before the end of the message")

// Error reports an invalid or unsupported message. The connection cannot be used any further.
type Error struct {
	Status int // status code for the response to the message
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

func errorf(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Message is an HTTP request or response.
type Message struct {
	Method         string // method of a request
	Target         string // request target
	Status         int    // status code of a response
	MinorVersion   int    // 0 for HTTP/1.0, 1 for HTTP/1.1
	Fields         []Field
	Body           []byte // aliases the parsed data, unless the body was chunked
	Close          bool   // the connection is closed after the message
	ExpectContinue bool   // the client waits for a 100 (Continue) response before it sends the body
	UntilClose     bool   // the body extends to the end of the connection
}

// Get returns the value of the first field with the given name, or an empty string if there is none.
func (m *Message) Get(name string) string {
	for _, field := range m.Fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}

// bodyless reports whether a response has no body regardless of its fields.
func (m *Message) bodyless(requestMethod string) bool {
	return requestMethod == methodHead || m.Status < statusOK || m.Status == statusNoContent || m.Status == statusNotModified
}
