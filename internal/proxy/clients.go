package proxy

import (
	"container/list"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"snowquay/internal/core/forwarding"
	"snowquay/internal/env"
	"snowquay/internal/wire/http1"
)

// client is a connection from a client. Its requests are handled one at a time.
type client struct {
	id           env.Conn
	received     []byte // data that has not been consumed yet
	parser       http1.Parser
	message      http1.Message
	request      forwarding.RequestID // the request in flight; 0: none
	reading      bool                 // readRequests is handling a request, and parses the next one itself
	closing      bool                 // whether to close the connection after the next response
	continueSent bool                 // whether 100 (Continue) has been sent for the incomplete request
	idleSince    float64              // time of the latest response, or of the connection if none has been sent
	served       bool                 // whether a response has been sent
	waiting      *list.Element        // place among the waiting clients; nil while a request is in flight
}

func (p *Proxy) receiveFromClient(now float64, c *client, data []byte) {
	limits := p.config.Limits.HTTP
	c.received = append(c.received, data...)
	if len(c.received) > limits.Head+limits.Body+limits.Body/4 {
		p.rejectMalformed(now, c, http.StatusRequestEntityTooLarge, "too much is sent ahead")
		return
	}
	p.readRequests(now, c)
	if p.buffered.Add(len(data)) {
		p.closeLargestClients(now)
	}
}

// readRequests handles the complete requests in the received data until one is in flight.
func (p *Proxy) readRequests(now float64, c *client) {
	for p.clients[c.id] == c && c.request == 0 && !c.closing && len(c.received) > 0 {
		length, err := c.parser.Request(c.received, p.config.Limits.HTTP, &c.message)
		if err != nil {
			p.rejectMalformed(now, c, parseErrorStatus(err), err.Error())
			return
		}
		if length == 0 {
			p.sendContinue(c)
			return
		}
		c.closing = c.message.Close
		c.reading = true
		p.handleRequest(now, c)
		c.reading = false
		c.consume(length)
	}
}

// consume removes a request of the given length from the received data.
func (c *client) consume(length int) {
	c.message = http1.Message{}
	c.continueSent = false
	c.received = c.received[length:]
	if len(c.received) == 0 {
		c.received = nil // an idle connection needs no buffer
	}
}

// sendContinue sends 100 (Continue), once per request, to a client that expects it before it sends the body.
func (p *Proxy) sendContinue(c *client) {
	if c.message.ExpectContinue && !c.continueSent {
		c.continueSent = true
		p.io.Send(c.id, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// parseErrorStatus returns the HTTP status of the response to a request that could not be parsed.
func parseErrorStatus(err error) int {
	var parseError *http1.Error
	if errors.As(err, &parseError) {
		return parseError.Status
	}
	return http.StatusBadRequest
}

// rejectMalformed responds to a request that cannot be parsed, and closes the connection.
func (p *Proxy) rejectMalformed(now float64, c *client, status int, title string) {
	p.Stats.Malformed++
	p.rejectClient(now, c, problem(status, title, 0))
}

// rejectClient sends a client a last response and closes its connection.
func (p *Proxy) rejectClient(now float64, c *client, message *http1.Message) {
	const closes = true
	p.response = http1.AppendResponse(p.response[:0], message, "", closes)
	p.io.Send(c.id, p.response)
	p.closeClient(now, c)
}

// problem returns an error response with problem details (RFC 9457). If retryAfter is 0, the response has no Retry-After field;
// otherwise it is in seconds and is rounded up.
func problem(status int, title string, retryAfter float64) *http1.Message {
	message := &http1.Message{
		Status: status,
		Fields: []http1.Field{{Name: "Content-Type", Value: "application/problem+json"}},
		Body:   fmt.Appendf(nil, `{"type":"about:blank","title":%q,"status":%d}`, title, status),
	}
	if retryAfter > 0 {
		seconds := strconv.Itoa(int(math.Ceil(retryAfter)))
		message.Fields = append(message.Fields, http1.Field{Name: "Retry-After", Value: seconds})
	}
	return message
}

// respond sends the response to a client's current request. Then it closes the connection if that is requested, or else handles the
// requests that have been received in the meantime.
func (p *Proxy) respond(now float64, c *client, method string, message *http1.Message) {
	p.response = http1.AppendResponse(p.response[:0], message, method, c.closing)
	p.io.Send(c.id, p.response)
	c.request = 0
	p.endWait(c)
	c.served = true
	p.awaitRequest(now, c)
	if c.closing {
		p.closeClient(now, c)
		return
	}
	if !c.reading {
		p.readRequests(now, c)
	}
}

// closeClient closes a client's connection and cancels its request.
func (p *Proxy) closeClient(now float64, c *client) {
	p.io.Close(c.id)
	p.handleClientClosed(now, c)
}

// handleClientClosed cancels the request of a client whose connection is closed, so that it is not sent to any other server, and
// discards what the client has sent ahead.
func (p *Proxy) handleClientClosed(now float64, c *client) {
	delete(p.clients, c.id)
	p.endWait(c)
	c.received = nil
	c.parser.Reset()
	if c.request == 0 || p.requests[c.request] == nil {
		return
	}
	delete(p.requests, c.request)
	p.perform(now, p.Core.ClientGone(c.request))
}
