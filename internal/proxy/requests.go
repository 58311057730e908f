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

// pendingRequest is a client's request that is in flight.
type pendingRequest struct {
	client      *client
	method      string
	data        []byte // as it is sent to servers
	lastFailure []byte // the latest response that counts as a failure; nil: none
}

// handleRequest forwards the request that a client has sent, or rejects it.
func (p *Proxy) handleRequest(now float64, c *client) {
	message := &c.message
	class, ok := p.route(message.Target)
	if !ok {
		p.respond(now, c, message.Method, problem(http.StatusNotFound, "no class of queries is at this path", 0))
		return
	}
	received := forwarding.Request{Class: class, IdempotencyKey: message.Get(idempotencyKeyField)}
	if received.IdempotencyKey != "" {
		received.Fingerprint = fingerprint(message)
	}
	request := &pendingRequest{client: c, method: message.Method, data: http1.AppendRequest(nil, message)}
	id, actions := p.Core.HandleRequest(now, received)
	p.requests[id] = request
	c.request = id
	p.perform(now, actions)
}

// route returns the class of a request; ok is false if there is none.
func (p *Proxy) route(path string) (class balancer.Class, ok bool) {
	for _, route := range p.config.Routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route.Class, true
		}
	}
	return 0, false
}

func fingerprint(message *http1.Message) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(message.Method + " " + message.Target + "\n")
	_, _ = digest.Write(message.Body)
	return digest.Sum64()
}

// perform executes actions in their order.
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

// failRequest tells a client that its request failed or is rejected. If a server has said why it failed, its response is passed on.
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

// failureStatus returns the HTTP status for an error of the forwarding core.
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
