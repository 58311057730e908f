package longpollhttp

import (
	"bytes"
	"errors"
	"net/url"
	"strings"
)

const proxiesPath = "/v1/proxies/" // followed by a proxy's UID

// ErrNotPoll reports that the first bytes of a connection are not a poll of any proxy.
var ErrNotPoll = errors.New("the first request is no poll")

// ParseIdentity returns the UID that the first request of a connection names. need says that more bytes are needed to
// tell. The error is ErrNotPoll.
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
