package longpoll

import (
	"errors"

	"snowquay/internal/core/controlplane"
)

// join makes the sender of a poll a joined proxy; it returns nil after it has rejected the poll. Polls of joined proxies
// are served without it, so that a crowd of joining ones takes no capacity from them.
func (s *Server) join(now float64, id PollID, poll Poll) *clientState {
	if !s.fleet.Listed(poll.UID) { // checked first, so that proxies which may never join take no token
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

// retryAfter returns a random time in seconds, so that proxies that are rejected together do not come back together.
func (s *Server) retryAfter() float64 {
	return s.limits.RetryAfter * (1 + s.random.Float24())
}

// ProxyLeft takes a proxy's own message that it leaves, and reports whether it was joined.
func (s *Server) ProxyLeft(now float64, uid string) bool {
	client := s.clients[uid]
	if client == nil {
		return false
	}
	s.drop(now, client, "deregistered by itself")
	return true
}

// leaveReason returns why a proxy counts as gone, empty if it does not. A proxy without a parked poll cannot be notified of
// a drain. It must not stay joined then, and gets full tables when it comes back.
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
		superseded := client.poll
		s.unpark(client)
		s.reject(superseded, Superseded, 0)
	}
	s.forget(client)
	s.fleet.Disconnect(now, client.proxy)
	s.handler.Dropped(client.uid)
}

func (s *Server) forget(client *clientState) {
	if client.unacknowledged {
		s.unacknowledged--
	}
	delete(s.clients, client.uid)
	delete(s.byProxy, client.proxy.ID)
}

// Displaced drops a proxy that has joined by another frontend. It implements controlplane.Frontend.
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
	s.forget(client)
}
