package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"snowquay/internal/core/tablecache"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/http1"
)

const (
	pollWait      = 20.0 // seconds for which a coordinator may hold a poll open
	shortPollWait = 1.0  // likewise if there are several coordinators, so that a paused one is detected quickly
)

// responseLimits apply to responses of coordinators. A body contains the tables of all classes.
var responseLimits = http1.Limits{Head: 16 << 10, Body: 8 << 20, Fields: 100}

func (c *coordinatorClient) tickLongPoll(now float64) {
	if !c.awaitingResponse {
		if now >= c.nextPollAt {
			c.poll(now)
		}
		return
	}
	if now-c.requestSentAt > c.pollWait()+2*heartbeatInterval {
		c.disconnect(now, "no response")
	}
}

// pollWait returns the seconds for which the coordinator may hold a poll open.
func (c *coordinatorClient) pollWait() float64 {
	if len(c.proxy.config.Coordinators) > 1 {
		return shortPollWait
	}
	return pollWait
}

// poll requests tables that are newer than those the proxy holds.
func (c *coordinatorClient) poll(now float64) {
	query := url.Values{"wait": {fmt.Sprint(c.pollWait())}}
	epoch, version, ownershipEpoch := c.proxy.Core.Tables.HeldVersion()
	if epoch != "" {
		query.Set("epoch", epoch)
		query.Set("version", strconv.FormatUint(version, 10))
	}
	if ownershipEpoch > 0 {
		query.Set("lead", strconv.FormatUint(ownershipEpoch, 10))
	}
	c.awaitingResponse = true
	c.requestSentAt = now
	c.proxy.io.Send(c.conn, fmt.Appendf(nil, "GET /v1/proxies/%s/tables?%s HTTP/1.1\r\nHost: coordinator\r\nAccept: %s\r\n\r\n",
		url.PathEscape(c.proxy.config.UID), query.Encode(), delta.CBOR))
}

func (c *coordinatorClient) readResponses(now float64) {
	id := c.conn
	for c.conn == id {
		var response http1.Message
		length, err := http1.ParseResponse(c.received, http.MethodGet, responseLimits, &response)
		if err != nil {
			c.disconnect(now, err.Error())
			return
		}
		if length == 0 {
			return
		}
		c.awaitingResponse = false
		c.handleResponse(now, &response)
		if c.conn == id {
			c.received = append(c.received[:0], c.received[length:]...)
		}
	}
}

func (c *coordinatorClient) handleResponse(now float64, response *http1.Message) {
	switch response.Status {
	case http.StatusOK:
		if err := c.applyTables(now, response); err != nil {
			c.disconnect(now, err.Error())
			return
		}
		c.poll(now)
	case http.StatusNoContent:
		c.proxy.Core.Tables.MarkCurrent(now)
		c.markJoined(now)
		c.poll(now)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.markLeft(now)
		c.nextPollAt = now + retryAfter(response)
	default: // another coordinator owns the proxy, or the proxy is not authorized
		c.disconnect(now, fmt.Sprint("unexpected status ", response.Status))
	}
}

// retryAfter returns the delay before the next poll in seconds, from the Retry-After field of a response. If the field is missing,
// invalid or greater than pollWait, it returns redialInterval.
func retryAfter(response *http1.Message) float64 {
	seconds, err := strconv.ParseFloat(response.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) || seconds > pollWait {
		return redialInterval
	}
	return seconds
}

// applyTables applies the tables in a response. A delta to a version that the proxy does not hold is not an error: the next poll requests
// complete tables.
func (c *coordinatorClient) applyTables(now float64, response *http1.Message) error {
	core := c.proxy.Core
	var tables delta.Tables
	if err := delta.Decode(response.Body, response.Get("Content-Type"), &tables); err != nil {
		c.proxy.config.Log("tables cannot be decoded", "error", err)
		return fmt.Errorf("decode tables: %w", err)
	}
	orders, removed, err := core.Tables.Apply(now, &tables)
	if errors.Is(err, tablecache.ErrUnknownBase) {
		core.Tables.ForgetVersion()
		return nil
	}
	if err != nil {
		c.proxy.config.Log("tables rejected", "error", err)
		return fmt.Errorf("apply tables: %w", err)
	}
	core.ApplyOrders(now, orders)
	entries := 0
	for i := range tables.Classes {
		entries += len(tables.Classes[i].Entries)
	}
	c.markJoined(now)
	c.proxy.handleTableChange(now, entries, removed)
	return nil
}
