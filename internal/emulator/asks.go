package emulator

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"

	"snowquay/balancer"
	"snowquay/internal/wire/delta"
)

const (
	longPollWaitSeconds    = 20.0 // seconds that a poll waits
	shortPollWaitSeconds   = 1.0  // likewise, where there are other coordinators: one that is paused is noticed by it
	pollGapSeconds = 2.5  // seconds without a poll, after which a coordinator holds the relay for gone
	headerEnd    = "\r\n\r\n"
)

// longPollState is the state of a relay that speaks the long-poll API.
type longPollState struct {
	buf     []byte
	epoch   string
	version uint64
	pending     bool // a poll is out
	count   int
	sentAt   float64 // when the poll went out
	ownershipEpoch    uint64  // newest epoch of who leads what that it has followed
}

// sendPoll sends a poll.
func (r *Relay) sendPoll(now float64) {
	wait := longPollWaitSeconds
	if len(r.OtherCoordinators) > 0 {
		wait = shortPollWaitSeconds
	}
	r.longPoll.sentAt = now
	q := url.Values{"wait": {fmt.Sprint(wait)}}
	if r.longPoll.epoch != "" {
		q.Set("epoch", r.longPoll.epoch)
		q.Set("version", strconv.FormatUint(r.longPoll.version, 10))
	}
	if r.longPoll.ownershipEpoch > 0 {
		q.Set("lead", strconv.FormatUint(r.longPoll.ownershipEpoch, 10))
	}
	r.longPoll.pending = true
	r.longPoll.count++
	r.io.Send(r.coordinatorConn, fmt.Appendf(nil, "GET /v1/proxies/%s/tables?%s HTTP/1.1\r\nHost: coordinator\r\nAccept: %s\r\n\r\n",
		url.PathEscape(r.UID), q.Encode(), delta.CBOR))
}

// receivePollResponses takes bytes of the coordinator's responses.
func (r *Relay) receivePollResponses(now float64, b []byte) {
	r.longPoll.buf = append(r.longPoll.buf, b...)
	for {
		end := bytes.Index(r.longPoll.buf, []byte(headerEnd))
		if end < 0 {
			return
		}
		head, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(r.longPoll.buf[:end+len(headerEnd)])), nil)
		if err != nil {
			r.checker.recordProtocolError(now, "relay %s can't follow: %v", r.UID, err)
			return
		}
		whole := end + len(headerEnd) + max(int(head.ContentLength), 0)
		if len(r.longPoll.buf) < whole {
			return
		}
		body := r.longPoll.buf[end+len(headerEnd) : whole]
		r.handlePollResponse(now, head, body)
		r.longPoll.buf = append(r.longPoll.buf[:0], r.longPoll.buf[whole:]...)
		_, _ = io.Copy(io.Discard, head.Body)
	}
}

func (r *Relay) handlePollResponse(now float64, head *http.Response, body []byte) {
	r.longPoll.pending = false
	asked := r.longPoll.count
	r.io.SetTimer(now+pollGapSeconds, firstPollGapTimer+asked)
	switch head.StatusCode {
	case http.StatusOK:
		var t delta.Tables
		if err := delta.Decode(body, head.Header.Get("Content-Type"), &t); err != nil {
			r.checker.recordProtocolError(now, "relay %s: %v", r.UID, err)
			return
		}
		lines := 0
		if t.Stale(r.longPoll.ownershipEpoch) { // its coordinator was paused, and another one has led since
			c := r.coordinatorConn
			r.io.Close(c)
			r.Closed(now, c)
			return
		}
		r.longPoll.ownershipEpoch = t.OwnershipEpoch
		if !t.AppliesTo(r.longPoll.epoch, r.longPoll.version) {
			r.checker.recordProtocolError(now, "relay %s was sent a delta to version %d, it holds %d", r.UID, t.Base, r.longPoll.version)
			r.longPoll.epoch = ""
			break
		}
		for _, c := range t.Classes {
			lines += len(c.Entries)
			r.applyClassUpdate(now, c)
		}
		r.checker.messageReceived(now, r.UID, lines)
		r.checker.responseReceived(len(body), r.fullTableSize(t))
		r.longPoll.epoch, r.longPoll.version = t.Epoch, t.Version
	case http.StatusNoContent:
	default:
		r.joined = false
		r.checker.relayLeft(now, r.UID)
		if head.StatusCode == http.StatusMisdirectedRequest || head.StatusCode == http.StatusConflict && len(r.OtherCoordinators) > 0 {
			c := r.coordinatorConn
			r.io.Close(c)
			r.Closed(now, c)
			return
		}
		after, err := strconv.ParseFloat(head.Header.Get("Retry-After"), 64)
		if err != nil {
			after = redialSeconds
		}
		r.io.SetTimer(now+after, relayLongPollTimer)
		return
	}
	r.sendPoll(now)
	r.markJoined(now)
}

// fullTableSize is how many bytes the same answer would have with whole tables.
func (r *Relay) fullTableSize(t delta.Tables) int {
	t.Classes = nil
	for k, c := range r.Classes {
		d := delta.Class{Class: c.Name, Full: true}
		for _, l := range r.tables[k].entries {
			if l.weight > 0 {
				d.Entries = append(d.Entries, delta.Entry{Server: l.server.String(), Weight: l.weight})
			}
		}
		t.Classes = append(t.Classes, d)
	}
	b, err := delta.Append(nil, delta.CBOR, &t)
	if err != nil {
		return 0
	}
	return len(b)
}

func (r *Relay) markJoined(now float64) {
	if !r.joined {
		r.joined = true
		r.checker.relayJoined(now, r.UID)
		r.reportTables(now)
	}
}

// applyClassUpdate applies what an answer says of a class, whole.
func (r *Relay) applyClassUpdate(now float64, c delta.Class) {
	k := slices.IndexFunc(r.Classes, func(x Class) bool { return x.Name == c.Class })
	if k < 0 {
		r.checker.recordProtocolError(now, "relay %s was told of class %q", r.UID, c.Class)
		return
	}
	named := map[netip.AddrPort]bool{}
	for _, l := range c.Entries {
		a, err := netip.ParseAddrPort(l.Server)
		if err != nil {
			r.checker.recordProtocolError(now, "relay %s was told of server %q", r.UID, l.Server)
			continue
		}
		named[a] = true
		r.setWeight(r.tables[k], a, l.Weight)
	}
	for _, l := range r.tables[k].entries {
		if c.Full && !named[l.server] {
			l.weight = 0
		}
	}
	if c.Admission != nil {
		r.admission[k] = *c.Admission
	}
	if way := slices.Index([]string{"none", "proof", "failure", "twice"}, c.Retry); way >= 0 {
		r.retryPolicies[k] = balancer.RetryPolicy(way)
	}
	r.reportTables(now)
}
