package http1

import (
	"strconv"
	"strings"
)

// hopByHop is the set of fields that are not forwarded: those that apply to a single connection (RFC 9110, section
// 7.6.1) and those that frame the body.
var hopByHop = map[string]bool{
	"connection":        true,
	"keep-alive":        true,
	"proxy-connection":  true,
	"te":                true,
	"trailer":           true,
	"transfer-encoding": true,
	"upgrade":           true,
	"content-length":    true,
	"expect":            true,
}

// reasons maps common status codes to their reason phrases. Other codes are written without a phrase.
var reasons = map[int]string{
	statusOK:              "OK",
	201:                   "Created",
	statusNoContent:       "No Content",
	statusBadRequest:      "Bad Request",
	404:                   "Not Found",
	statusContentTooLarge: "Content Too Large",
	422:                   "Unprocessable Content",
	statusHeadTooLarge:    "Request Header Fields Too Large",
	500:                   "Internal Server Error",
	statusBadGateway:      "Bad Gateway",
	503:                   "Service Unavailable",
	504:                   "Gateway Timeout",
}

// AppendRequest appends a request as a proxy forwards it: without hop-by-hop fields and with extra fields.
func AppendRequest(b []byte, m *Message, extra ...Field) []byte {
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	if m.MinorVersion == 0 && m.Get("Host") == "" {
		b = append(b, "Host: \r\n"...)
	}
	writeLength := len(m.Body) > 0 || m.Method != methodGet && m.Method != methodHead
	return m.appendFieldsAndBody(b, writeLength, extra)
}

// AppendResponse appends a response to a request with the given method as a proxy forwards it: without hop-by-hop
// fields and with extra fields. If closes is set, the response announces the end of the connection. The response to a
// HEAD request keeps its Content-Length.
func AppendResponse(b []byte, m *Message, requestMethod string, closes bool, extra ...Field) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(m.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[m.Status]...)
	b = append(b, "\r\n"...)
	if closes {
		extra = append(extra, Field{Name: "Connection", Value: "close"})
	}
	if requestMethod == methodHead {
		if length := m.Get("Content-Length"); length != "" {
			extra = append(extra, Field{Name: "Content-Length", Value: length})
		}
	}
	return m.appendFieldsAndBody(b, !m.bodyless(requestMethod), extra)
}

func (m *Message) appendFieldsAndBody(b []byte, writeLength bool, extra []Field) []byte {
	connectionOptions := strings.ToLower(m.Get("Connection"))
	for _, field := range m.Fields {
		if !isHopByHop(field.Name, connectionOptions) {
			b = appendField(b, field)
		}
	}
	for _, field := range extra {
		b = appendField(b, field)
	}
	if writeLength {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

func appendField(b []byte, field Field) []byte {
	b = append(b, field.Name...)
	b = append(b, ": "...)
	b = append(b, field.Value...)
	return append(b, "\r\n"...)
}

// isHopByHop reports whether a field is not forwarded, either because of its name or because the Connection field
// lists it.
func isHopByHop(name, connectionOptions string) bool {
	name = strings.ToLower(name)
	if hopByHop[name] {
		return true
	}
	if connectionOptions == "" {
		return false
	}
	for option := range strings.SplitSeq(connectionOptions, ",") {
		if strings.TrimSpace(option) == name {
			return true
		}
	}
	return false
}
