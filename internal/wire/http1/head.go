package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// headEnd ends the head of a message.
const headEnd = "\r\n\r\n"

// maxLengthDigits of a content length: more than any that a limit allows.
const maxLengthDigits = 10

// framingKind says how the end of a body is found.
type framingKind int

const (
	unframed framingKind = iota // the head does not say
	byLength
	chunked
)

// framing is what a head says of its body.
type framing struct {
	kind   framingKind
	length int // bytes, if byLength
}

// splitHead returns the lines of a head and its length in bytes; the length is 0 while the head is incomplete.
func splitHead(b []byte, limits Limits) (lines []string, length int, err error) {
	end := bytes.Index(b, []byte(headEnd))
	if end < 0 || end+len(headEnd) > limits.Head {
		if len(b) > limits.Head {
			return nil, 0, errorf(statusHeadTooLarge, "the head has over %d bytes", limits.Head)
		}
		return nil, 0, nil
	}
	text := string(b[:end])
	if strings.ContainsFunc(text, isForbiddenControl) {
		return nil, 0, errorf(statusBadRequest, "a control character in the head")
	}
	lines = strings.Split(text, "\r\n")
	for _, line := range lines {
		if strings.ContainsAny(line, "\r\n") {
			return nil, 0, errorf(statusBadRequest, "a bare CR or LF in the head")
		}
	}
	if len(lines)-1 > limits.Fields {
		return nil, 0, errorf(statusHeadTooLarge, "over %d fields", limits.Fields)
	}
	return lines, end + len(headEnd), nil
}

func isForbiddenControl(r rune) bool {
	return r < ' ' && r != '\t' && r != '\r' && r != '\n' || r == 0x7f
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return text != ""
}

// parseVersion returns the minor version of HTTP/1.
func parseVersion(text string) (minor int, ok bool) {
	switch text {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// parseFields reads the fields of a head, and from them the framing of the body.
func (m *Message) parseFields(lines []string, limits Limits) (framing, error) {
	body := framing{kind: unframed}
	hosts := 0
	m.Fields = m.Fields[:0]
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return framing{}, errorf(statusBadRequest, "no field: %.40q", line)
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
		return framing{}, errorf(statusBadRequest, "%d fields Host", hosts)
	}
	return body, nil
}

func (f *framing) setLength(value string, limits Limits) error {
	if f.kind != unframed {
		return errorf(statusBadRequest, "the length is said twice, or beside an encoding")
	}
	if value == "" || len(value) > maxLengthDigits || strings.Trim(value, "0123456789") != "" {
		return errorf(statusBadRequest, "no length: %.40q", value)
	}
	length, err := strconv.Atoi(value)
	if err != nil {
		return errorf(statusBadRequest, "no length: %.40q", value)
	}
	if length > limits.Body {
		return errorf(statusContentTooLarge, "a body of %d bytes; %d at most", length, limits.Body)
	}
	f.kind = byLength
	f.length = length
	return nil
}

func (f *framing) setEncoding(value string, minorVersion int) error {
	if f.kind != unframed {
		return errorf(statusBadRequest, "an encoding beside a length, or twice")
	}
	if minorVersion == 0 || !strings.EqualFold(value, "chunked") {
		return errorf(statusNotImplemented, "encoding %.40q is not spoken", value)
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
		return errorf(statusExpectationFailed, "expectation %.40q", value)
	}
	m.ExpectContinue = true
	return nil
}
