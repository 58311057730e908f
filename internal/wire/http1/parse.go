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
	lines, headLength, err := splitHead(data, limits)
	if headLength == 0 || err != nil {
		return 0, err
	}
	*request = Message{Fields: request.Fields[:0]}
	parts := strings.Split(lines[0], " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return 0, errorf(statusBadRequest, "invalid request line %.40q", lines[0])
	}
	minor, ok := parseVersion(parts[2])
	if !ok {
		return 0, errorf(statusVersionNotSupported, "unsupported HTTP version %.20q", parts[2])
	}
	request.Method = parts[0]
	request.Target = parts[1]
	request.MinorVersion = minor
	request.Close = minor == 0
	if request.Method == methodConnect || request.Target[0] != '/' && request.Target != "*" {
		return 0, errorf(statusBadRequest, "request target %.40q is not a path", request.Target)
	}
	body, err := request.parseFields(lines[1:], limits)
	if err != nil {
		return 0, err
	}
	return request.parseBody(data, headLength, body, limits)
}

// ParseResponse parses a response to a request with the given method at the beginning of data and returns its length.
// The length is 0 while the response is incomplete. If response.UntilClose is set, the body extends to the end of the
// connection and CompleteResponseAtEOF has to be called then. Errors are of type *Error. Their status is
// 502, unless the head exceeds a limit or contains forbidden characters.
func ParseResponse(data []byte, requestMethod string, limits Limits, response *Message) (int, error) {
	lines, headLength, err := splitHead(data, limits)
	if headLength == 0 || err != nil {
		return 0, err
	}
	body, err := response.parseResponseHead(lines, limits)
	if err != nil {
		return 0, err
	}
	if response.bodyless(requestMethod) {
		return headLength, nil
	}
	if body.kind == unframed {
		response.UntilClose = true
		response.Close = true
		if len(data)-headLength > limits.Body {
			return 0, errorf(statusBadGateway, "body exceeds %d bytes", limits.Body)
		}
		return 0, nil
	}
	length, err := response.parseBody(data, headLength, body, limits)
	if err != nil {
		return 0, errorf(statusBadGateway, "%v", err)
	}
	return length, nil
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

// parseBody parses the body that follows a head of the given length. It returns the length of head and body together,
// or 0 while the body is incomplete.
func (m *Message) parseBody(data []byte, headLength int, body framing, limits Limits) (int, error) {
	switch body.kind {
	case chunked:
		return m.parseChunks(data, headLength, limits)
	case byLength:
		end := headLength + body.length
		if len(data) < end {
			return 0, nil
		}
		if body.length > 0 {
			m.Body = data[headLength:end]
		}
		return end, nil
	}
	return headLength, nil
}

func (m *Message) parseChunks(b []byte, headLength int, limits Limits) (int, error) {
	var parts [][]byte
	decoder := chunkDecoder{maxBody: limits.Body, maxTrailers: limits.Head}
	length, err := decoder.decode(b[headLength:], func(data []byte) { parts = append(parts, data) })
	if err != nil || decoder.state != chunksEnded {
		return 0, err
	}
	m.Body = bytes.Join(parts, nil)
	return headLength + length, nil
}
