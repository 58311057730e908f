package emulator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"snowquay/internal/env"
	"snowquay/internal/wire/http1"
)

// The responses to real proxies.
const (
	notFoundResponse    = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	failedResponse      = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	notExecutedResponse = "HTTP/1.1 503 Service Unavailable\r\nSnowquay-Ran: no\r\nContent-Length: 0\r\n\r\n"
)

// receiveHTTP handles received data of a real proxy.
func (s *Server) receiveHTTP(now float64, conn env.Conn, b []byte) {
	b = append(s.unparsed[conn], b...)
	s.unparsed[conn] = b
	var message http1.Message
	size, err := http1.ParseRequest(b, http1.DefaultLimits, &message)
	if err != nil {
		s.checker.recordProtocolError(now, "server %s cannot parse the request: %v", s.Addr, err)
		s.io.Close(conn)
		return
	}
	if size == 0 {
		return
	}
	s.unparsed[conn] = append([]byte(nil), b[size:]...)
	path, work, _ := strings.Cut(message.Target, "?work=")
	class := slices.IndexFunc(s.Classes, func(c Class) bool { return path == "/"+c.Name })
	if class < 0 {
		s.io.Send(conn, []byte(notFoundResponse))
		return
	}
	request := job{conn: conn, from: s.peers[conn], class: class, http: true}
	// Malformed numbers are parsed as 0.
	request.work, _ = strconv.ParseFloat(work, 64)
	request.id, _ = strconv.ParseUint(message.Get("Idempotency-Key"), 10, 64)
	s.handleRequest(now, request)
}

// reply responds to a request in the protocol in which it was received.
func (s *Server) reply(request job, result outcome) {
	if !request.http {
		s.io.Send(request.conn, appendResponse(nil, request.id, result))
		return
	}
	switch result {
	case answered:
		id := strconv.FormatUint(request.id, 10)
		s.io.Send(request.conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
	case rejected:
		s.io.Send(request.conn, []byte(notExecutedResponse))
	default:
		s.io.Send(request.conn, []byte(failedResponse))
	}
}
