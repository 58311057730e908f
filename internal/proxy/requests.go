package proxy

import (
	"errors"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/forwarding"
	"snowquay/internal/wire/http1"
)

const idempotencyKeyField = "Idempotency-Key"

// pendingRequest is a client request in flight.
type pendingRequest struct {
	client      *client
	method      string
	data        []byte // the encoded request, as it is sent to servers
	lastFailure []byte // the latest encoded response with a status of 500 or above; nil: none
}

// handleRequest forwards a client's current request, or rejects it if no class matches its path or no connection to a server can be had.
func (p *Proxy) handleRequest(now float64, c *client) {
	message := &c.message
	class, ok := p.route(message.Target)
	if !ok {
		p.respond(now, c, message.Method, problem(http.StatusNotFound, "no class of queries is at this path", 0))
		return
	}
	if !p.hasRoomForRequest(now) {
		p.rejectWithoutRoom(now, c)
		return
	}
	coreRequest := forwarding.Request{Class: class, IdempotencyKey: message.Get(idempotencyKeyField)}
	if coreRequest.IdempotencyKey != "" {
		coreRequest.Fingerprint = fingerprint(message)
	}
	request := &pendingRequest{client: c, method: message.Method, data: http1.AppendRequest(nil, message)}
	id, actions := p.Core.HandleRequest(now, coreRequest)
	p.requests[id] = request
	c.request = id
	p.endWait(c)
	p.perform(now, actions)
}

// route returns the request class for a path; ok is false if no route matches.
func (p *Proxy) route(path string) (class balancer.Class, ok bool) {
	for _, route := range p.config.Routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route.Class, true
		}
	}
	return 0, false
}

// fingerprint returns a hash of the method, target and body of a request. It detects the reuse of an idempotency key for another request.
func fingerprint(message *http1.Message) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(message.Method + " " + message.Target + "\n")
	_, _ = digest.Write(message.Body)
	return digest.Sum64()
}

// perform executes actions of the forwarding core in order.
func (p *Proxy) perform(now float64, actions []forwarding.Action) {
	for _, action := range actions {
		switch action.Kind {
		case forwarding.Send:
			p.sendAttempt(now, action)
		case forwarding.Cancel:
			if conn := p.attempts[action.Attempt]; conn != nil {
				p.closeServerConn(conn)
			}
		case forwarding.Fail, forwarding.Reject:
			p.failRequest(now, action)
		}
	}
}

// failRequest responds to a client whose request failed or was rejected. If all attempts failed and a server sent a failure response, the
// latest such response is returned to the client.
func (p *Proxy) failRequest(now float64, action forwarding.Action) {
	request := p.requests[action.Request]
	if request == nil {
		return
	}
	delete(p.requests, action.Request)
	if request.lastFailure != nil && errors.Is(action.Err, forwarding.ErrAttemptsFailed) {
		var response http1.Message
		_, err := http1.ParseResponse(request.lastFailure, request.method, p.config.Limits.HTTP, &response)
		if err == nil {
			p.respond(now, request.client, request.method, &response)
			return
		}
	}
	response := problem(failureStatus(action.Err), action.Err.Error(), action.RetryAfter)
	p.respond(now, request.client, request.method, response)
}

// failureStatus maps an error of the forwarding core to an HTTP status.
func failureStatus(err error) int {
	switch {
	case errors.Is(err, forwarding.ErrKeyReused):
		return http.StatusUnprocessableEntity
	case errors.Is(err, forwarding.ErrDeadlineExceeded):
		return http.StatusGatewayTimeout
	case errors.Is(err, forwarding.ErrNoServer), errors.Is(err, admission.ErrRateLimited), errors.Is(err, admission.ErrTooManyInFlight):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
