package longpoll

import (
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/timingwheel"
)

// PollID identifies a poll. The frontend assigns the IDs and uses each of them once; 0 means no poll.
type PollID uint64

// Poll is a proxy's request for changes since a version.
type Poll struct {
	UID            string
	Epoch          uint64  // epoch of the version that the proxy holds; 0: it holds none
	Version        uint64  // number of the version that the proxy holds
	Wait           float64 // seconds for which the poll may be parked
	OwnershipEpoch uint64  // newest ownership epoch that the proxy has followed; 0: none
}

// RejectReason is the reason why a poll is rejected.
type RejectReason int

// Reasons to reject a poll.
const (
	NotListed        RejectReason = iota // the settings list no such proxy
	TooManyPolls                         // too many proxies join at once, or too many are joined
	PollRateExceeded                     // the proxy polls too often
	Superseded                           // the proxy has sent another poll, or has left
	WrongCoordinator                     // another coordinator owns the proxy
	JoinedElsewhere                      // the proxy has joined through another frontend
	EpochOutdated                        // the proxy has followed a newer ownership epoch than this coordinator knows
)

// clientState is the state of a joined proxy.
type clientState struct {
	uid             string
	proxy           *controlplane.Proxy
	poll            PollID // the parked poll; 0: none
	waitTimer       timingwheel.Timer[*clientState]
	version         uint64 // version of the latest answer; 0: none
	baseVersion     uint64 // version that the proxy has acknowledged; 0: none
	sent            [maxSentStates]sentState
	nextSent        int  // index of the next state in sent
	unacknowledged  bool // the latest answer is not yet acknowledged
	tokens          float64
	tokensUpdatedAt float64
	answeredAt      float64 // time at which its latest poll ended
	heldBack        bool    // an answer is due but delayed by the limit on unacknowledged answers
}

// HandlePoll handles a poll. The handler is called, at once or later, to answer or reject it.
func (s *Server) HandlePoll(now float64, id PollID, poll Poll) {
	s.Stats.Polls++
	// If the proxy has followed a newer epoch, this coordinator has not yet learned that the ownership has changed, and
	// considers itself the owner by an epoch that has ended. The drawback of the check: the proxies of a coordinator that
	// is far behind are not served until it has caught up or its lease has ended.
	if poll.OwnershipEpoch > s.fleet.OwnershipEpoch() {
		s.reject(id, EpochOutdated, 0)
		return
	}
	client := s.clients[poll.UID]
	if client == nil {
		client = s.join(now, id, poll)
	}
	if client == nil {
		return
	}
	if !s.takePollToken(now, client, poll) {
		s.reject(id, PollRateExceeded, s.retryAfter())
		return
	}
	if client.poll != 0 { // the connection of the older poll may be broken without notice, so the newest poll is served
		superseded := client.poll
		s.unpark(client)
		s.reject(superseded, Superseded, 0)
	}
	s.acknowledge(now, client, poll)
	client.poll = id
	s.byPoll[id] = client
	s.wheel.Set(&client.waitTimer, now+min(max(poll.Wait, 0), s.limits.MaxWait))
	s.fleet.Resume(now, client.proxy)
}

// takePollToken limits the poll rate of a proxy by a token bucket, and reports whether the poll is within the limit. A
// poll that acknowledges an answer takes no token, since the rate of answers limits the rate of such polls.
func (s *Server) takePollToken(now float64, client *clientState, poll Poll) bool {
	client.tokens = min(s.limits.PollBurst, client.tokens+(now-client.tokensUpdatedAt)*s.limits.PollRate)
	client.tokensUpdatedAt = now
	acknowledges := client.unacknowledged && poll.Epoch == s.epoch && poll.Version == client.version
	if !acknowledges {
		client.tokens--
	}
	return client.tokens >= 0
}

func (s *Server) reject(id PollID, reason RejectReason, after float64) {
	s.Stats.Rejected++
	s.handler.Reject(id, reason, after)
}

// unpark removes a client's parked poll, and suspends the client's updates until its next poll.
func (s *Server) unpark(client *clientState) {
	if client.poll == 0 {
		return
	}
	s.clearPoll(client)
	s.fleet.Suspend(client.proxy)
}

func (s *Server) clearPoll(client *clientState) {
	delete(s.byPoll, client.poll)
	s.wheel.Cancel(&client.waitTimer)
	client.poll = 0
}

// PollClosed handles the end of the connection of a parked poll.
func (s *Server) PollClosed(now float64, id PollID) {
	client := s.byPoll[id]
	if client == nil {
		return
	}
	s.unpark(client)
	client.answeredAt = now
}

// waitExpired answers a poll whose wait has expired. A change that is pending at that moment is sent regardless of the
// channel's pacing, since an answer without changes would be wrong.
func (s *Server) waitExpired(now float64, client *clientState) {
	if s.fleet.NeedsUpdate(client.proxy) && !client.proxy.InFlight() && s.unacknowledged < s.limits.MaxUnacknowledged {
		s.sendUpdate(now, client)
		if client.poll == 0 {
			return
		}
	}
	s.Stats.EmptyAnswers++
	s.answer.Classes = s.answer.Classes[:0]
	s.answer.Base = 0
	s.reply(now, client)
	s.fleet.Suspend(client.proxy)
}
