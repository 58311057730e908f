package longpoll

import (
	"errors"

	"snowquay/internal/core/controlplane"
)

// join makes the sender of a poll a joined proxy. It returns nil if it has rejected the poll. Polls of proxies that
// have already joined bypass it, so that many proxies that join at once take no capacity from them.
func (s *Server) join(now float64, id PollID, poll Poll) *clientState {
	if !s.fleet.Listed(poll.UID) { // checked first, so that proxies that may not join consume no token
		s.handler.Log("proxy refused", "uid", poll.UID, "error", controlplane.ErrUnlistedProxy)
		s.reject(id, NotListed, 0)
		return nil
	}
	s.joinTokens = min(s.limits.JoinBurst, s.joinTokens+(now-s.joinsUpdatedAt)*s.limits.JoinRate)
	s.joinsUpdatedAt = now
	if s.joinTokens < 1 || len(s.clients) >= s.limits.MaxParked {
		s.reject(id, TooManyPolls, s.retryAfter())
		return nil
	}
	s.joinTokens--
	proxy, err := s.fleet.Join(now, poll.UID, s, poll.Epoch == 0)
	if err != nil {
		s.handler.Log("proxy refused", "uid", poll.UID, "error", err)
		s.rejectJoin(id, err)
		return nil
	}
	s.Stats.Joins++
	proxy.SupportsAdmission = true
	client := &clientState{uid: poll.UID, proxy: proxy, tokens: s.limits.PollBurst, tokensUpdatedAt: now, answeredAt: now}
	client.waitTimer.Value = client
	s.clients[poll.UID] = client
	s.byProxy[proxy.ID] = client
	s.fleet.Suspend(proxy)
	return client
}

func (s *Server) rejectJoin(id PollID, err error) {
	switch {
	case errors.Is(err, controlplane.ErrWrongCoordinator):
		s.reject(id, WrongCoordinator, 0)
	case errors.Is(err, controlplane.ErrJoinRateExceeded):
		s.reject(id, PollRateExceeded, s.retryAfter())
	default:
		s.reject(id, TooManyPolls, s.retryAfter())
	}
}

// retryAfter returns a random delay in seconds, so that proxies that are rejected at the same time do not retry at the
// same time.
func (s *Server) retryAfter() float64 {
	return s.limits.RetryAfter * (1 + s.random.Float24())
}

// ProxyLeft deregisters a proxy at its own request. It reports whether the proxy was joined.
func (s *Server) ProxyLeft(now float64, uid string) bool {
	client := s.clients[uid]
	if client == nil {
		return false
	}
	s.drop(now, client, "deregistered by the proxy")
	return true
}

// leaveReason returns the reason why a proxy is no longer considered joined; empty if it still is. A proxy without a
// parked poll cannot be notified of a drain, so it must not stay joined; it gets full tables when it joins again.
func (s *Server) leaveReason(now float64, client *clientState) string {
	if client.poll != 0 {
		return s.fleet.Noncompliance(client.proxy)
	}
	if now-client.answeredAt > s.limits.PollGap {
		return "no poll within the poll gap"
	}
	return s.fleet.DrainOverdue(now, client.proxy)
}

func (s *Server) drop(now float64, client *clientState, reason string) {
	s.Stats.Left++
	s.handler.Log("proxy left", "uid", client.uid, "reason", reason)
	if client.poll != 0 {
		parked := client.poll
		s.unpark(client)
		s.reject(parked, Superseded, 0)
	}
	s.removeClient(client)
	s.fleet.Disconnect(now, client.proxy)
	s.handler.Dropped(client.uid)
}

func (s *Server) removeClient(client *clientState) {
	if client.unacknowledged {
		s.unacknowledged--
	}
	delete(s.clients, client.uid)
	delete(s.byProxy, client.proxy.ID)
}

// Displaced removes a proxy that has joined through another frontend, and rejects its parked poll. It implements
// controlplane.Frontend.
func (s *Server) Displaced(_ float64, proxy *controlplane.Proxy) {
	client := s.byProxy[proxy.ID]
	if client == nil {
		return
	}
	if client.poll != 0 {
		displaced := client.poll
		s.clearPoll(client)
		s.reject(displaced, JoinedElsewhere, 0)
	}
	s.removeClient(client)
}
