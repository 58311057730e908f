// Package http1 frames HTTP/1.1 messages (RFC 9112) for a proxy: whole messages out of bytes that come in any pieces, and
// bytes for whole messages. It is strict, since what two programs frame differently can be smuggled past one of them: a
// message with both a length and an encoding, two lengths, a name with spaces, a bare CR or a folded line is refused, where
// section 11.2 leaves room for guessing. It is pure.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a message; one beyond is refused.
type Limits struct {
	Head   int // bytes, with the first line
	Body   int // bytes
	Fields int // header fields
}

// DefaultLimits are those that settings start from.
var DefaultLimits = Limits{Head: 16 << 10, Body: 1 << 20, Fields: 100}

// Error says what is wrong with a message, and with which status a server answers it.
type Error struct {
	Status int
	Why    string
}

func (e *Error) Error() string { return e.Why }

func wrong(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// ErrUnexpectedEnd is no error of a message: the peer ended in the middle of it.
var ErrUnexpectedEnd = errors.New("the message ends in the middle")

// Field of a head.
type Field struct{ Name, Value string }

// Message is a request or a response. Body points into the bytes that it was read from, unless it came in chunks.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Minor          int    // of the version
	Fields         []Field
	Body           []byte
	Close          bool // the connection ends after it
	Continue       bool // its sender waits for 100 (Continue) before it sends the body
	UntilClose     bool // its body goes on until the connection ends
}

// Get is a field's value; empty if there is none.
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// head finds a whole head; n is 0 where more is needed.
func head(b []byte, l Limits) (lines []string, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 || end+4 > l.Head {
		if len(b) > l.Head {
			return nil, 0, wrong(431, "the head has over %d bytes", l.Head)
		}
		return nil, 0, nil
	}
	text := string(b[:end])
	if i := strings.IndexFunc(text, func(r rune) bool { return r < ' ' && r != '\t' && r != '\r' && r != '\n' || r == 0x7f }); i >= 0 {
		return nil, 0, wrong(400, "a control character in the head")
	}
	lines = strings.Split(text, "\r\n")
	for _, x := range lines {
		if strings.ContainsAny(x, "\r\n") {
			return nil, 0, wrong(400, "a bare CR or LF in the head")
		}
	}
	if len(lines)-1 > l.Fields {
		return nil, 0, wrong(431, "over %d fields", l.Fields)
	}
	return lines, end + 4, nil
}

// fields reads a head's fields and what frames the body: its length, -1 for chunks, -2 where neither is said.
func (m *Message) fields(lines []string, l Limits) (length int, err error) {
	length = -2
	hosts := 0
	m.Fields = m.Fields[:0]
	for _, x := range lines {
		name, value, ok := strings.Cut(x, ":")
		if !ok || !token(name) {
			return 0, wrong(400, "no field: %.40q", x)
		}
		value = strings.Trim(value, " \t")
		m.Fields = append(m.Fields, Field{name, value})
		switch strings.ToLower(name) {
		case "content-length":
			if length != -2 {
				return 0, wrong(400, "the length is said twice, or beside an encoding")
			}
			if value == "" || len(value) > 10 || strings.Trim(value, "0123456789") != "" {
				return 0, wrong(400, "no length: %.40q", value)
			}
			if length, err = strconv.Atoi(value); err != nil {
				return 0, wrong(400, "no length: %.40q", value)
			}
			if length > l.Body {
				return 0, wrong(413, "a body of %d bytes; %d at most", length, l.Body)
			}
		case "transfer-encoding":
			if length != -2 {
				return 0, wrong(400, "an encoding beside a length, or twice")
			}
			if m.Minor == 0 || !strings.EqualFold(value, "chunked") {
				return 0, wrong(501, "encoding %.40q is not spoken", value)
			}
			length = -1
		case "connection":
			for v := range strings.SplitSeq(value, ",") {
				switch v = strings.TrimSpace(v); {
				case strings.EqualFold(v, "close"):
					m.Close = true
				case strings.EqualFold(v, "keep-alive") && m.Minor == 0:
					m.Close = false
				}
			}
		case "expect":
			if !strings.EqualFold(value, "100-continue") {
				return 0, wrong(417, "expectation %.40q", value)
			}
			m.Continue = true
		case "host":
			hosts++
		}
	}
	if m.Method != "" && (hosts > 1 || hosts == 0 && m.Minor > 0) {
		return 0, wrong(400, "%d fields Host", hosts)
	}
	return length, nil
}

func minor(version string) (int, bool) {
	switch version {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// Request reads a request from the beginning of b. n is its length; 0 where more is needed, and m then says whether its sender
// waits for a 100. An error is final for the connection.
func Request(b []byte, l Limits, m *Message) (n int, err error) {
	lines, n, err := head(b, l)
	if n == 0 || err != nil {
		return 0, err
	}
	*m = Message{Fields: m.Fields[:0]}
	parts := strings.Split(lines[0], " ")
	if len(parts) != 3 || !token(parts[0]) || parts[1] == "" {
		return 0, wrong(400, "no request: %.40q", lines[0])
	}
	var ok bool
	if m.Minor, ok = minor(parts[2]); !ok {
		return 0, wrong(505, "version %.20q", parts[2])
	}
	m.Method, m.Target, m.Close = parts[0], parts[1], m.Minor == 0
	if m.Method == "CONNECT" || m.Target[0] != '/' && m.Target != "*" {
		return 0, wrong(400, "target %.40q is not a path", m.Target)
	}
	length, err := m.fields(lines[1:], l)
	if err != nil {
		return 0, err
	}
	return m.body(b, n, length, l)
}

// response reads a response's head.
func (m *Message) response(lines []string, l Limits) (length int, err error) {
	*m = Message{Fields: m.Fields[:0]}
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	var ok bool
	if m.Minor, ok = minor(version); !ok {
		return 0, wrong(502, "version %.20q", version)
	}
	if m.Status, err = strconv.Atoi(code); err != nil || len(code) != 3 || m.Status < 100 {
		return 0, wrong(502, "no response: %.40q", lines[0])
	}
	m.Close = m.Minor == 0
	if length, err = m.fields(lines[1:], l); err != nil {
		return 0, wrong(502, "%v", err)
	}
	return length, nil
}

// Response reads a response to a request with a method. n is its length; 0 where more is needed: where m.Until is set, until
// the connection ends, and Ended then has it.
func Response(b []byte, method string, l Limits, m *Message) (n int, err error) {
	lines, n, err := head(b, l)
	if n == 0 || err != nil {
		return 0, err
	}
	length, err := m.response(lines, l)
	if err != nil {
		return 0, err
	}
	if method == "HEAD" || m.Status < 200 || m.Status == 204 || m.Status == 304 {
		return n, nil
	}
	if length == -2 {
		if m.UntilClose, m.Close = true, true; len(b)-n > l.Body {
			return 0, wrong(502, "a body of over %d bytes", l.Body)
		}
		return 0, nil
	}
	if n, err = m.body(b, n, length, l); err != nil {
		return 0, wrong(502, "%v", err)
	}
	return n, nil
}

// ResponseAtEOF reads a response whose body went on until the connection ended, of all the bytes that came.
func ResponseAtEOF(b []byte, m *Message) error {
	if !m.UntilClose {
		return ErrUnexpectedEnd
	}
	m.Body = b[bytes.Index(b, []byte("\r\n\r\n"))+4:]
	return nil
}

// ResponseHead reads the head of a response whose body may never end. n is its length; 0 where more is needed. What follows is the
// body, and is read by Body.
func ResponseHead(b []byte, l Limits, m *Message) (n int, body Body, err error) {
	lines, n, err := head(b, l)
	if n == 0 || err != nil {
		return 0, Body{}, err
	}
	length, err := m.response(lines, l)
	return n, Body{left: length, chunks: length == -1}, err
}

// Body reads a body as it comes, in any pieces.
type Body struct {
	left   int // bytes of it, or of the chunk at hand; -2: until the connection ends
	chunks bool
	state  int
	line   []byte
}

// Where in a body in chunks the next byte stands.
const (
	atSize = iota
	atData
	atEnd
	atTrailer
	atRest // past the body
)

// Read calls take with the parts of the body that are in b, and tells whether it is over.
func (x *Body) Read(b []byte, take func([]byte)) (over bool, err error) {
	for len(b) > 0 {
		switch {
		case !x.chunks && x.left == -2:
			take(b)
			return false, nil
		case !x.chunks && x.left == 0 || x.chunks && x.state == atRest:
			return true, nil
		case !x.chunks || x.state == atData:
			n := min(len(b), x.left)
			take(b[:n])
			if b, x.left = b[n:], x.left-n; x.left == 0 && x.chunks {
				x.state = atEnd
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			x.line = append(x.line, b...)
		} else {
			x.line = append(x.line, b[:end]...)
		}
		if len(x.line) > mostExtension {
			return false, wrong(400, "a chunk's line of over %d bytes", mostExtension)
		}
		if end < 0 {
			return false, nil
		}
		b = b[end+1:]
		text, ok := strings.CutSuffix(string(x.line), "\r")
		x.line = x.line[:0]
		switch {
		case !ok:
			return false, wrong(400, "a bare LF between chunks")
		case x.state == atEnd && text != "":
			return false, wrong(400, "a chunk that does not end where it says")
		case x.state == atEnd:
			x.state = atSize
		case x.state == atTrailer && text == "":
			x.state = atRest
		case x.state == atSize:
			size, err := chunk(text)
			if err != nil {
				return false, err
			}
			if x.left, x.state = size, atData; size == 0 {
				x.state = atTrailer
			}
		}
	}
	return x.chunks && x.state == atRest || !x.chunks && x.left == 0, nil
}

func (m *Message) body(b []byte, n, length int, l Limits) (int, error) {
	switch {
	case length == -2 || length == 0:
		return n, nil
	case length == -1:
		return m.chunks(b, n, l)
	case len(b) < n+length:
		return 0, nil
	}
	m.Body = b[n : n+length]
	return n + length, nil
}

const mostExtension = 256 // bytes of a chunk's line

// chunk reads a chunk's size from its line, without the line's end.
func chunk(line string) (int, error) {
	line, _, _ = strings.Cut(line, ";")
	if line == "" || len(line) > 8 || strings.Trim(line, "0123456789abcdefABCDEF") != "" {
		return 0, wrong(400, "no chunk: %.20q", line)
	}
	size, err := strconv.ParseUint(line, 16, 32)
	if err != nil {
		return 0, wrong(400, "no chunk: %.20q", line)
	}
	return int(size), nil
}

// chunks reads a body in chunks (section 7.1); trailers are read past and dropped.
func (m *Message) chunks(b []byte, n int, l Limits) (int, error) {
	var body []byte
	for {
		end := bytes.Index(b[n:], []byte("\r\n"))
		if end < 0 || end > mostExtension {
			if len(b)-n > mostExtension {
				return 0, wrong(400, "a chunk's line of over %d bytes", mostExtension)
			}
			return 0, nil
		}
		if bytes.IndexByte(b[n:n+end], '\n') >= 0 {
			return 0, wrong(400, "a bare LF between chunks")
		}
		size, err := chunk(string(b[n : n+end]))
		if err != nil {
			return 0, err
		}
		n += end + 2
		if size == 0 {
			break
		}
		if len(body)+size > l.Body {
			return 0, wrong(413, "a body of over %d bytes", l.Body)
		}
		if len(b) < n+size+2 {
			return 0, nil
		}
		body = append(body, b[n:n+size]...)
		if n += size + 2; b[n-2] != '\r' || b[n-1] != '\n' {
			return 0, wrong(400, "a chunk that does not end where it says")
		}
	}
	for from := n; ; {
		end := bytes.Index(b[n:], []byte("\r\n"))
		if end < 0 || n+end-from > l.Head {
			if len(b)-from > l.Head {
				return 0, wrong(431, "trailers of over %d bytes", l.Head)
			}
			return 0, nil
		}
		n += end + 2
		if end == 0 {
			m.Body = body
			return n, nil
		}
	}
}

// hop are fields that concern one connection only (RFC 9110, section 7.6.1), and those that frame a body.
var hop = map[string]bool{"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "expect": true}

// passes calls yield for the fields that a proxy passes on.
func (m *Message) passes(yield func(Field)) {
	named := strings.ToLower(m.Get("Connection"))
	for _, f := range m.Fields {
		name := strings.ToLower(f.Name)
		if hop[name] || named != "" && slicesContains(named, name) {
			continue
		}
		yield(f)
	}
}

func slicesContains(list, name string) bool {
	for v := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(v) == name {
			return true
		}
	}
	return false
}

// AppendRequest writes a request that is passed on, with further fields.
func AppendRequest(b []byte, m *Message, more ...Field) []byte {
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	if m.Minor == 0 && m.Get("Host") == "" {
		b = append(b, "Host: \r\n"...)
	}
	return m.rest(b, len(m.Body) > 0 || m.Method != "GET" && m.Method != "HEAD", more)
}

// AppendResponse writes a response that is passed on. close says that the connection ends after it; a HEAD's length is passed
// on as it is.
func AppendResponse(b []byte, m *Message, method string, last bool, more ...Field) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(m.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[m.Status]...)
	b = append(b, "\r\n"...)
	if last {
		more = append(more, Field{"Connection", "close"})
	}
	if method == "HEAD" {
		if v := m.Get("Content-Length"); v != "" {
			more = append(more, Field{"Content-Length", v})
		}
	}
	return m.rest(b, method != "HEAD" && m.Status >= 200 && m.Status != 204 && m.Status != 304, more)
}

func (m *Message) rest(b []byte, length bool, more []Field) []byte {
	add := func(f Field) {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	m.passes(add)
	for _, f := range more {
		add(f)
	}
	if length {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

// reasons are the words of statuses that are written often; others go without.
var reasons = map[int]string{200: "OK", 201: "Created", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	413: "Content Too Large", 422: "Unprocessable Content", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}
