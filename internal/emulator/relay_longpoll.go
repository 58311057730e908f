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
	longPollWaitSeconds  = 20.0
	shortPollWaitSeconds = 1.0 // wait with several coordinators, so that a paused one is detected
	pollGapSeconds       = 2.5 // time without a poll after which a coordinator considers the relay to have left
	headerEnd            = "\r\n\r\n"
)

// retryPolicyNames holds the names of retry policies in the long-poll API, indexed by balancer.RetryPolicy.
var retryPolicyNames = []string{"none", "proof", "failure", "twice"}

// longPollState is the state of a relay that uses the long-poll API.
type longPollState struct {
	buf            []byte // received data that is not handled yet
	epoch          string // epoch of the tables, empty for none
	version        uint64 // version of the tables
	pending        bool   // a poll has not been answered
	count          int    // number of polls sent
	sentAt         float64
	ownershipEpoch uint64 // highest ownership epoch of the updates that it applied
}

func (r *Relay) sendPoll(now float64) {
	wait := longPollWaitSeconds
	if len(r.OtherCoordinators) > 0 {
		wait = shortPollWaitSeconds
	}
	r.longPoll.sentAt = now
	parameters := url.Values{"wait": {fmt.Sprint(wait)}}
	if r.longPoll.epoch != "" {
		parameters.Set("epoch", r.longPoll.epoch)
		parameters.Set("version", strconv.FormatUint(r.longPoll.version, 10))
	}
	if r.longPoll.ownershipEpoch > 0 {
		parameters.Set("lead", strconv.FormatUint(r.longPoll.ownershipEpoch, 10))
	}
	r.longPoll.pending = true
	r.longPoll.count++
	r.io.Send(r.coordinatorConn, fmt.Appendf(nil, "GET /v1/proxies/%s/tables?%s HTTP/1.1\r\nHost: coordinator\r\nAccept: %s\r\n\r\n",
		url.PathEscape(r.UID), parameters.Encode(), delta.CBOR))
}

// receivePollResponses handles received data of the coordinator's responses.
func (r *Relay) receivePollResponses(now float64, b []byte) {
	r.longPoll.buf = append(r.longPoll.buf, b...)
	for {
		end := bytes.Index(r.longPoll.buf, []byte(headerEnd))
		if end < 0 {
			return
		}
		bodyStart := end + len(headerEnd)
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(r.longPoll.buf[:bodyStart])), nil)
		if err != nil {
			r.checker.recordProtocolError(now, "relay %s cannot parse the poll response: %v", r.UID, err)
			return
		}
		bodyEnd := bodyStart + max(int(response.ContentLength), 0)
		if len(r.longPoll.buf) < bodyEnd {
			return
		}
		r.handlePollResponse(now, response, r.longPoll.buf[bodyStart:bodyEnd])
		r.longPoll.buf = append(r.longPoll.buf[:0], r.longPoll.buf[bodyEnd:]...)
		_, _ = io.Copy(io.Discard, response.Body) // handlePollResponse has already handled the body
	}
}

func (r *Relay) handlePollResponse(now float64, response *http.Response, body []byte) {
	r.longPoll.pending = false
	r.io.SetTimer(now+pollGapSeconds, firstPollGapTimer+r.longPoll.count)
	switch response.StatusCode {
	case http.StatusOK:
		if !r.handleTables(now, response, body) {
			return
		}
	case http.StatusNoContent:
	default:
		r.handlePollRejection(now, response)
		return
	}
	r.sendPoll(now)
	r.markJoined(now)
}

// handleTables applies an update. It returns false if the relay must not poll again on this connection.
func (r *Relay) handleTables(now float64, response *http.Response, body []byte) bool {
	var tables delta.Tables
	if err := delta.Decode(body, response.Header.Get("Content-Type"), &tables); err != nil {
		r.checker.recordProtocolError(now, "relay %s cannot decode the tables: %v", r.UID, err)
		return false
	}
	if tables.Stale(r.longPoll.ownershipEpoch) { // the coordinator was paused, and another one has owned the relay since
		r.DropConnection(now)
		return false
	}
	r.longPoll.ownershipEpoch = tables.OwnershipEpoch
	if !tables.AppliesTo(r.longPoll.epoch, r.longPoll.version) {
		r.checker.recordProtocolError(now, "relay %s received a delta against version %d while at version %d", r.UID, tables.Base, r.longPoll.version)
		r.longPoll.epoch = ""
		return true
	}
	entries := 0
	for _, class := range tables.Classes {
		entries += len(class.Entries)
		r.applyClassUpdate(now, class)
	}
	r.checker.messageReceived(now, r.UID, entries)
	r.checker.responseReceived(len(body), r.fullTableSize(tables))
	r.longPoll.epoch = tables.Epoch
	r.longPoll.version = tables.Version
	return true
}

// handlePollRejection drops the connection, so that another coordinator is dialed, if this one does not own the relay.
// Otherwise it schedules another poll.
func (r *Relay) handlePollRejection(now float64, response *http.Response) {
	r.markLeft()
	conflict := response.StatusCode == http.StatusConflict && len(r.OtherCoordinators) > 0
	if response.StatusCode == http.StatusMisdirectedRequest || conflict {
		r.DropConnection(now)
		return
	}
	delay, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		delay = redialSeconds
	}
	r.io.SetTimer(now+delay, relayLongPollTimer)
}

// fullTableSize returns the size in bytes that a response would have with full tables.
func (r *Relay) fullTableSize(tables delta.Tables) int {
	tables.Classes = nil
	for i, class := range r.Classes {
		full := delta.Class{Class: class.Name, Full: true}
		for _, entry := range r.tables[i].entries {
			if entry.weight > 0 {
				full.Entries = append(full.Entries, delta.Entry{Server: entry.server.String(), Weight: entry.weight})
			}
		}
		tables.Classes = append(tables.Classes, full)
	}
	b, err := delta.Append(nil, delta.CBOR, &tables)
	if err != nil {
		return 0
	}
	return len(b)
}

// applyClassUpdate applies the complete update of a class, and then reports the tables once.
func (r *Relay) applyClassUpdate(now float64, update delta.Class) {
	class := slices.IndexFunc(r.Classes, func(c Class) bool { return c.Name == update.Class })
	if class < 0 {
		r.checker.recordProtocolError(now, "relay %s received an update of unknown class %q", r.UID, update.Class)
		return
	}
	named := map[netip.AddrPort]bool{}
	for _, entry := range update.Entries {
		server, err := netip.ParseAddrPort(entry.Server)
		if err != nil {
			r.checker.recordProtocolError(now, "relay %s received an entry with invalid server address %q", r.UID, entry.Server)
			continue
		}
		named[server] = true
		r.setWeight(r.tables[class], server, entry.Weight)
	}
	for _, entry := range r.tables[class].entries {
		if update.Full && !named[entry.server] {
			entry.weight = 0
		}
	}
	if update.Admission != nil {
		r.admission[class] = *update.Admission
	}
	if policy := slices.Index(retryPolicyNames, update.Retry); policy >= 0 {
		r.retryPolicies[class] = balancer.RetryPolicy(policy)
	}
	r.reportTables(now)
}
