package longpollhttp

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"

	"snowquay/internal/core/longpoll"
	"snowquay/internal/wire/delta"
)

const problemTypePrefix = "https://snowquay.example/problems/"

// response is a response without the headers that depend on its connection.
type response struct {
	status       int
	mediaType    string // media type of the body
	extraHeaders string // complete header lines
	body         []byte
}

// rejection is the content of the problem document with which a poll is rejected.
type rejection struct {
	status int
	kind   string
	detail string
}

var rejections = map[longpoll.RejectReason]rejection{
	longpoll.NotListed:        {http.StatusForbidden, "not-listed", "the settings list no such proxy"},
	longpoll.TooManyPolls:     {http.StatusServiceUnavailable, "crowded", "too many proxies come at once"},
	longpoll.PollRateExceeded: {http.StatusTooManyRequests, "too-often", "this proxy asks too often"},
	longpoll.Superseded:       {http.StatusConflict, "superseded", "another poll of this proxy has come, or it has left"},
	longpoll.WrongCoordinator: {http.StatusMisdirectedRequest, "elsewhere", "another coordinator leads this proxy"},
	longpoll.EpochOutdated:    {http.StatusMisdirectedRequest, "behind", "the proxy has followed a newer lead than this coordinator knows"},
	longpoll.JoinedElsewhere:  {http.StatusConflict, "moved", "this proxy has joined by another front"},
}

// Reject responds to a poll with a problem document. It implements longpoll.Handler.
func (f *Frontend) Reject(id longpoll.PollID, reason longpoll.RejectReason, after float64) {
	conn := f.takePoll(id)
	if conn == nil {
		return
	}
	rejected := rejections[reason]
	f.respondProblem(conn, rejected.status, rejected.kind, after, "%s", rejected.detail)
	f.handleRequests(conn)
}

// RejectResponse returns a complete response with a problem document, for a connection that is closed after it. after
// is the number of seconds after which the client may retry; 0: the response names no time.
func RejectResponse(status int, kind, detail string, after float64) []byte {
	body := problemBody(status, kind, detail, after)
	data := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n", status,
		http.StatusText(status), delta.ProblemMediaType, len(body))
	data = append(data, retryAfterHeader(after)...)
	data = append(data, "\r\n"...)
	return append(data, body...)
}

// failConnection responds with a problem document to a request after which the boundaries of further requests are not
// known, and marks the connection to be closed.
func (f *Frontend) failConnection(conn *connection, status int, kind, format string, args ...any) {
	f.Stats.Malformed++
	conn.closing = true
	f.respondProblem(conn, status, kind, 0, format, args...)
}

func (f *Frontend) respondProblem(conn *connection, status int, kind string, after float64, format string, args ...any) {
	f.respond(conn, response{
		status:       status,
		mediaType:    delta.ProblemMediaType,
		extraHeaders: retryAfterHeader(after),
		body:         problemBody(status, kind, fmt.Sprintf(format, args...), after),
	})
}

// problemBody encodes a problem document. It returns nil on failure, which is not expected, since all numbers are
// finite.
func problemBody(status int, kind, detail string, after float64) []byte {
	body, err := json.Marshal(delta.Problem{
		Type:       problemTypePrefix + kind,
		Title:      http.StatusText(status),
		Status:     status,
		Detail:     detail,
		RetryAfter: math.Round(after*1000) / 1000, // in whole milliseconds
	})
	if err != nil {
		return nil
	}
	return body
}

func retryAfterHeader(after float64) string {
	if after > 0 {
		return fmt.Sprintf("Retry-After: %.0f\r\n", math.Ceil(after))
	}
	return ""
}

func (f *Frontend) respond(conn *connection, r response) {
	data := fmt.Appendf(f.sendBuffer[:0], "HTTP/1.1 %d %s\r\n%s", r.status, http.StatusText(r.status), r.extraHeaders)
	if r.status != http.StatusNoContent {
		data = fmt.Appendf(data, "Content-Type: %s\r\nContent-Length: %d\r\n", r.mediaType, len(r.body))
	}
	if conn.closing {
		data = append(data, "Connection: close\r\n"...)
	}
	data = append(data, "\r\n"...)
	data = append(data, r.body...)
	f.sendBuffer = data
	if conn.sentBytes == conn.deliveredBytes {
		conn.undeliveredAt = f.now
	}
	conn.sentBytes += uint64(len(data))
	f.handler.SendPoll(conn.id, data)
	if conn.sentBytes-conn.deliveredBytes > uint64(f.limits.MaxUnread) {
		f.close(conn, "too many unread bytes")
	}
}
