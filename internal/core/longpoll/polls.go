package longpoll

import (
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/timingwheel"
)

// PollID identifies a poll. The frontend assigns the numbers and uses each of them once; 0 is no poll.
type PollID uint64

// Poll is a request of a proxy for what is newer than a version.
type Poll struct {
	UID            string
	Epoch          uint64  // of the version that the proxy holds; 0: it holds none
	Version        uint64  // number of the version that the proxy holds
	Wait           float64 // seconds that the proxy will wait
	OwnershipEpoch uint64  // the newest epoch of proxy ownership that the proxy has followed; 0: none
}

// RejectReason says why a poll is rejected.
type RejectReason int

// The reasons to reject a poll.
const (
	NotListed        RejectReason = iota // the settings list no such proxy
	TooManyPolls                         // there are too many polls or proxies
	PollRateExceeded                     // the proxy polls too often
	Superseded                           // the proxy has sent another poll, or has left
	WrongCoordinator                     // another coordinator owns the proxy
	JoinedElsewhere                      // the proxy has joined by another frontend
	EpochOutdated                        // the proxy has followed a newer epoch than this coordinator knows
)

// clientState is a joined proxy.
type clientState struct {
	uid             string
	proxy           *controlplane.Proxy
	poll            PollID // the parked poll; 0: none
	waitTimer       timingwheel.Timer[*clientState]
	version         uint64 // of the latest answer; 0: none
	baseVersion     uint64 // version that the proxy is known to hold; 0: none
	sent            [sentStatesKept]sentState
	nextSent        int  // index of the next state in sent
	unacknowledged  bool // the latest answer is not yet acknowledged
	tokens          float64
	tokensUpdatedAt float64
	answeredAt      float64 // when its latest poll ended
	heldBack        bool    // an answer is due, and the limit of unacknowledged answers holds it back
}

// HandlePoll takes a poll. It is answered or rejected through the handler, now or later.
func (s *Server) HandlePoll(now float64, id PollID, poll Poll) {
	s.Stats.Polls++
	// Guards against a coordinator that has not heard that the proxy changed hands, and owns it by an epoch that is over. It
	// does harm where a coordinator is far behind: its proxies wait until it has caught up or its lease has ended.
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
	if client.poll != 0 { // its connection may be broken without notice, so that the newest poll counts
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

// takePollToken limits the poll rate of a proxy by a token bucket. A poll that acknowledges an answer is free, since its
// rate is that of the answers.
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

// unpark forgets a client's parked poll, and suspends its updates until the next one.
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

// PollClosed reports that the connection of a poll has ended.
func (s *Server) PollClosed(now float64, id PollID) {
	client := s.byPoll[id]
	if client == nil {
		return
	}
	s.unpark(client)
	client.answeredAt = now
}

// waitOver answers a poll whose wait is over. A change at that very moment is sent, ahead of the proxy's turn: an answer
// that says that nothing changed would be wrong.
func (s *Server) waitOver(now float64, client *clientState) {
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
