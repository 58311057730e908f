package longpollhttp

import (
	"bytes"
	"errors"
	"net/url"
	"strings"
)

const proxiesPath = "/v1/proxies/" // prefix of paths, which continue with the UID of a proxy

// ErrNotPoll is returned if the first request of a connection is not a request of a proxy.
var ErrNotPoll = errors.New("the first request is not a poll")

// ParseIdentity returns the UID that the first request of a connection names; data is what has been received so far. If
// need is true, more bytes are needed. The error is ErrNotPoll.
func ParseIdentity(data []byte) (uid string, need bool, err error) {
	line, _, complete := bytes.Cut(data, []byte("\r\n"))
	if !complete {
		return "", true, nil
	}
	parts := strings.Split(string(line), " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[1], proxiesPath) {
		return "", false, ErrNotPoll
	}
	name, _, _ := strings.Cut(parts[1][len(proxiesPath):], "/")
	name, _, _ = strings.Cut(name, "?")
	uid, err = url.PathUnescape(name)
	if err != nil || uid == "" {
		return "", false, ErrNotPoll
	}
	return uid, false, nil
}
