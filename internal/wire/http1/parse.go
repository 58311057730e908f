package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// ParseRequest parses a request at the beginning of data and returns its length. The length is 0 while the request is
// incomplete; request.ExpectContinue is then set if the client waits for a 100 (Continue) response. Errors are of type
// *Error.
func ParseRequest(data []byte, limits Limits, request *Message) (int, error) {
	var parser Parser
	return parser.Request(data, limits, request)
}

// parseRequestHead parses the head of a request. It returns the length of the head, 0 while it is incomplete, and the
// framing of the body.
func (m *Message) parseRequestHead(data []byte, limits Limits) (int, framing, error) {
	lines, headLength, err := splitHead(data, limits)
	if headLength == 0 || err != nil {
		return 0, framing{}, err
	}
	*m = Message{Fields: m.Fields[:0]}
	parts := strings.Split(lines[0], " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return 0, framing{}, errorf(statusBadRequest, "invalid request line %.40q", lines[0])
	}
	minor, ok := parseVersion(parts[2])
	if !ok {
		return 0, framing{}, errorf(statusVersionNotSupported, "unsupported HTTP version %.20q", parts[2])
	}
	m.Method = parts[0]
	m.Target = parts[1]
	m.MinorVersion = minor
	m.Close = minor == 0
	if m.Method == methodConnect || m.Target[0] != '/' && m.Target != "*" {
		return 0, framing{}, errorf(statusBadRequest, "request target %.40q is not a path", m.Target)
	}
	body, err := m.parseFields(lines[1:], limits)
	if err != nil {
		return 0, framing{}, err
	}
	return headLength, body, nil
}

// ParseResponse parses a response to a request with the given method at the beginning of data and returns its length.
// The length is 0 while the response is incomplete. If response.UntilClose is set, the body extends to the end of the
// connection and CompleteResponseAtEOF has to be called then. Errors are of type *Error. Their status is
// 502, unless the head exceeds a limit or contains forbidden characters.
func ParseResponse(data []byte, requestMethod string, limits Limits, response *Message) (int, error) {
	var parser Parser
	return parser.Response(data, requestMethod, limits, response)
}

// CompleteResponseAtEOF completes a response that ParseResponse has parsed from data and whose body extended to the
// end of the connection. It returns ErrUnexpectedEnd for any other response.
func CompleteResponseAtEOF(data []byte, response *Message) error {
	if !response.UntilClose {
		return ErrUnexpectedEnd
	}
	response.Body = data[bytes.Index(data, []byte(headEnd))+len(headEnd):]
	return nil
}

// ParseResponseHead parses the head of a response whose body may never end. It returns the length of the head, 0 while
// the head is incomplete, and a reader for the body that follows it. Errors are of type *Error.
func ParseResponseHead(data []byte, limits Limits, response *Message) (int, BodyReader, error) {
	lines, headLength, err := splitHead(data, limits)
	if headLength == 0 || err != nil {
		return 0, BodyReader{}, err
	}
	body, err := response.parseResponseHead(lines, limits)
	return headLength, newBodyReader(body, limits), err
}

func (m *Message) parseResponseHead(lines []string, limits Limits) (framing, error) {
	*m = Message{Fields: m.Fields[:0]}
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	minor, ok := parseVersion(version)
	if !ok {
		return framing{}, errorf(statusBadGateway, "unsupported HTTP version %.20q", version)
	}
	m.MinorVersion = minor
	status, err := strconv.Atoi(code)
	m.Status = status
	if err != nil || len(code) != 3 || status < 100 {
		return framing{}, errorf(statusBadGateway, "invalid status line %.40q", lines[0])
	}
	m.Close = minor == 0
	body, err := m.parseFields(lines[1:], limits)
	if err != nil {
		return framing{}, errorf(statusBadGateway, "%v", err)
	}
	return body, nil
}
