package longpollhttp

import (
	"bufio"
	"bytes"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"snowquay/internal/core/finite"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/wire/delta"
)

const (
	headEnd     = "\r\n\r\n"
	maxUIDBytes = 255
)

// Query parameters of a poll.
const (
	paramEpoch          = "epoch"
	paramVersion        = "version"
	paramWait           = "wait"
	paramOwnershipEpoch = "lead"
)

// handleRequests serves the complete requests in a connection's buffer, until a poll is parked or the peer leaves too much
// unread.
func (f *Frontend) handleRequests(conn *connection) {
	for f.conns[conn.id] == conn && !conn.closing && conn.poll == 0 && !conn.backlogged() {
		head, ok := f.nextHead(conn)
		if !ok {
			return
		}
		conn.idleSince = f.now
		f.Stats.Requests++
		f.handleRequest(conn, head)
	}
	if f.conns[conn.id] != conn || conn.closing || len(conn.buffer) <= f.limits.MaxHeadBytes {
		return
	}
	switch {
	case conn.poll != 0:
		f.close(conn, "too many requests behind a parked poll")
	case conn.backlogged():
		f.close(conn, "too many requests behind unread responses")
	}
}

// nextHead removes the head of the next request from a connection's buffer; ok is false if it is incomplete or too
// large.
func (f *Frontend) nextHead(conn *connection) (head []byte, ok bool) {
	end := bytes.Index(conn.buffer, []byte(headEnd))
	size := end + len(headEnd)
	if end < 0 || size > f.limits.MaxHeadBytes {
		if len(conn.buffer) > f.limits.MaxHeadBytes {
			f.failConnection(conn, http.StatusRequestHeaderFieldsTooLarge, "head-too-large", "the head has over %d bytes",
				f.limits.MaxHeadBytes)
		}
		return nil, false
	}
	head = bytes.Clone(conn.buffer[:size])
	conn.buffer = conn.buffer[size:]
	if len(conn.buffer) == 0 {
		conn.buffer = nil // an idle connection must not hold memory
	}
	return head, true
}

func (f *Frontend) handleRequest(conn *connection, head []byte) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		f.failConnection(conn, http.StatusBadRequest, "malformed", "%v", err)
		return
	}
	// Requests with a body are refused. No request needs one, and if a peer disagrees on where the body ends, a request
	// could be smuggled in it.
	hasEncoding := len(request.TransferEncoding) > 0 || request.Header.Get("Transfer-Encoding") != ""
	if request.ContentLength != 0 || hasEncoding {
		f.failConnection(conn, http.StatusRequestEntityTooLarge, "body", "requests have no body here")
		return
	}
	if request.ProtoMajor != 1 || request.ProtoMinor != 1 {
		f.failConnection(conn, http.StatusHTTPVersionNotSupported, "version", "%s is not spoken", request.Proto)
		return
	}
	f.route(conn, request)
	if request.Close && conn.poll == 0 {
		conn.closing = true
	}
}

func (f *Frontend) route(conn *connection, request *http.Request) {
	conn.mediaType, _ = delta.NegotiateMediaType(request.Header.Get("Accept"))
	path := request.URL.EscapedPath()
	switch {
	case path == "/openapi.json" && request.Method == http.MethodGet:
		f.respond(conn, response{status: http.StatusOK, mediaType: delta.JSON, body: OpenAPI})
	case !strings.HasPrefix(path, proxiesPath):
		f.respondProblem(conn, http.StatusNotFound, "not-found", 0, "there is nothing at %s", path)
	default:
		f.routeProxy(conn, request, path[len(proxiesPath):])
	}
}

// routeProxy serves a request whose path starts with proxiesPath; rest is the escaped path after it.
func (f *Frontend) routeProxy(conn *connection, request *http.Request, rest string) {
	name, resource, hasResource := strings.Cut(rest, "/")
	uid, err := url.PathUnescape(name)
	switch {
	case err != nil || uid == "" || len(uid) > maxUIDBytes:
		f.respondProblem(conn, http.StatusBadRequest, "uid", 0, "no UID of 1 to %d bytes", maxUIDBytes)
	case !hasResource && request.Method == http.MethodDelete:
		f.deleteProxy(conn, uid)
	case !hasResource || resource != "tables":
		f.respondProblem(conn, http.StatusNotFound, "not-found", 0, "there is nothing at %s", request.URL.Path)
	case request.Method != http.MethodGet:
		f.respondProblem(conn, http.StatusMethodNotAllowed, "method", 0, "%s is not allowed here", request.Method)
	case conn.mediaType == "":
		f.respondProblem(conn, http.StatusNotAcceptable, "not-acceptable", 0, "JSON and CBOR are to be had")
	default:
		f.handlePoll(conn, uid, request.URL.Query())
	}
}

func (f *Frontend) deleteProxy(conn *connection, uid string) {
	if !f.Polls.ProxyLeft(f.now, uid) {
		f.respondProblem(conn, http.StatusNotFound, "not-joined", 0, "proxy %q has not joined", uid)
		return
	}
	f.respond(conn, response{status: http.StatusNoContent})
}

func (f *Frontend) handlePoll(conn *connection, uid string, query url.Values) {
	poll, invalid := parsePoll(query)
	if invalid != "" {
		f.respondProblem(conn, http.StatusBadRequest, "query", 0, "%s=%.60q makes no sense", invalid,
			strings.Join(query[invalid], " "))
		return
	}
	poll.UID = uid
	if f.byUID[conn.uid] == conn {
		delete(f.byUID, conn.uid)
	}
	conn.uid = uid
	f.byUID[uid] = conn
	f.lastPoll++
	conn.poll = f.lastPoll
	f.byPoll[conn.poll] = conn
	f.Polls.HandlePoll(f.now, conn.poll, poll)
}

// parsePoll parses the query parameters of a poll. invalid is the parameter that the response names as invalid; empty
// if all are valid.
func parsePoll(query url.Values) (poll longpoll.Poll, invalid string) {
	var parameters [4]struct {
		name string
		err  error
	}
	parameters[0].name = paramEpoch
	poll.Epoch, parameters[0].err = parseUint(query.Get(paramEpoch), 16)
	parameters[1].name = paramVersion
	poll.Version, parameters[1].err = parseUint(query.Get(paramVersion), 10)
	parameters[2].name = paramWait
	poll.Wait, parameters[2].err = parseSeconds(query.Get(paramWait))
	parameters[3].name = paramOwnershipEpoch
	poll.OwnershipEpoch, parameters[3].err = parseUint(query.Get(paramOwnershipEpoch), 10)
	if !finite.NonNegative(poll.Wait) {
		return poll, paramEpoch // for a wait out of range, responses name the first parameter
	}
	for _, parameter := range parameters {
		if parameter.err != nil || len(query[parameter.name]) > 1 {
			return poll, parameter.name
		}
	}
	return poll, ""
}

// parseUint parses an unsigned integer; an empty text is 0.
func parseUint(text string, base int) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, base, 64)
}

// parseSeconds parses a number of seconds; an empty text is 0.
func parseSeconds(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseFloat(text, 64)
}
