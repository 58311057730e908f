package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// headEnd is the byte sequence that terminates the head of a message.
const headEnd = "\r\n\r\n"

// maxLengthDigits is the maximum number of digits in a Content-Length; a length within the limits has fewer.
const maxLengthDigits = 10

// framingKind is the method that determines where a body ends.
type framingKind int

const (
	unframed framingKind = iota // neither a length nor an encoding is given
	byLength
	chunked
)

// framing is the framing of a body as its head specifies it.
type framing struct {
	kind   framingKind
	length int // body length in bytes, if kind is byLength
}

// splitHead returns the lines of the head and its length in bytes. The length is 0 while the head is incomplete.
func splitHead(b []byte, limits Limits) (lines []string, length int, err error) {
	end := bytes.Index(b, []byte(headEnd))
	if end < 0 || end+len(headEnd) > limits.Head {
		if len(b) > limits.Head {
			return nil, 0, errorf(statusHeadTooLarge, "head exceeds %d bytes", limits.Head)
		}
		return nil, 0, nil
	}
	text := string(b[:end])
	if strings.ContainsFunc(text, isForbiddenControl) {
		return nil, 0, errorf(statusBadRequest, "control character in the head")
	}
	lines = strings.Split(text, "\r\n")
	for _, line := range lines {
		if strings.ContainsAny(line, "\r\n") {
			return nil, 0, errorf(statusBadRequest, "bare CR or LF in the head")
		}
	}
	if len(lines)-1 > limits.Fields {
		return nil, 0, errorf(statusHeadTooLarge, "more than %d header fields", limits.Fields)
	}
	return lines, end + len(headEnd), nil
}

func isForbiddenControl(r rune) bool {
	return r < ' ' && r != '\t' && r != '\r' && r != '\n' || r == 0x7f
}

// isToken reports whether text is a valid token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return text != ""
}

// parseVersion returns the minor version of HTTP/1.x. ok is false for any other version.
func parseVersion(text string) (minor int, ok bool) {
	switch text {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// parseFields parses the header fields and determines the framing of the body from them.
func (m *Message) parseFields(lines []string, limits Limits) (framing, error) {
	body := framing{kind: unframed}
	hosts := 0
	m.Fields = m.Fields[:0]
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return framing{}, errorf(statusBadRequest, "invalid header field %.40q", line)
		}
		value = strings.Trim(value, " \t")
		m.Fields = append(m.Fields, Field{Name: name, Value: value})
		var err error
		switch strings.ToLower(name) {
		case "content-length":
			err = body.setLength(value, limits)
		case "transfer-encoding":
			err = body.setEncoding(value, m.MinorVersion)
		case "connection":
			m.parseConnection(value)
		case "expect":
			err = m.parseExpect(value)
		case "host":
			hosts++
		}
		if err != nil {
			return framing{}, err
		}
	}
	if m.Method != "" && (hosts > 1 || hosts == 0 && m.MinorVersion > 0) {
		return framing{}, errorf(statusBadRequest, "%d Host fields, want one", hosts)
	}
	return body, nil
}

func (f *framing) setLength(value string, limits Limits) error {
	if f.kind != unframed {
		return errorf(statusBadRequest, "Content-Length is repeated or combined with Transfer-Encoding")
	}
	if value == "" || len(value) > maxLengthDigits || strings.Trim(value, "0123456789") != "" {
		return errorf(statusBadRequest, "invalid Content-Length %.40q", value)
	}
	length, err := strconv.Atoi(value)
	if err != nil {
		return errorf(statusBadRequest, "invalid Content-Length %.40q", value)
	}
	if length > limits.Body {
		return errorf(statusContentTooLarge, "body of %d bytes exceeds the limit of %d", length, limits.Body)
	}
	f.kind = byLength
	f.length = length
	return nil
}

func (f *framing) setEncoding(value string, minorVersion int) error {
	if f.kind != unframed {
		return errorf(statusBadRequest, "Transfer-Encoding is repeated or combined with Content-Length")
	}
	if minorVersion == 0 || !strings.EqualFold(value, "chunked") {
		return errorf(statusNotImplemented, "unsupported transfer encoding %.40q", value)
	}
	f.kind = chunked
	return nil
}

func (m *Message) parseConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		option = strings.TrimSpace(option)
		switch {
		case strings.EqualFold(option, "close"):
			m.Close = true
		case strings.EqualFold(option, "keep-alive") && m.MinorVersion == 0:
			m.Close = false
		}
	}
}

func (m *Message) parseExpect(value string) error {
	if !strings.EqualFold(value, "100-continue") {
		return errorf(statusExpectationFailed, "unsupported expectation %.40q", value)
	}
	m.ExpectContinue = true
	return nil
}
