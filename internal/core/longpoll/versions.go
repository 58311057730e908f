package longpoll

import (
	"snowquay/balancer"
	"snowquay/internal/core/tables"
)

// maxSentStates is the number of states that are stored for each proxy, those of the latest answers: one that the proxy
// holds, one in flight, and two spare.
const maxSentStates = 4

// sentState is the state of a proxy's tables after it has applied an answer.
type sentState struct {
	version uint64
	classes []sentTable // by class
}

// sentTable is the table that a class had been assigned when an answer was sent, and the version of the table that was
// sent.
type sentTable struct {
	table   balancer.Table
	version tables.Version
}

// recordSent assigns a new version to an answer and stores the state that the version stands for. Version numbers are
// unique among all proxies, so that a version that a proxy held before it left and joined again never stands for
// another state.
func (s *Server) recordSent(client *clientState) {
	s.lastVersion++
	client.version = s.lastVersion
	state := &client.sent[client.nextSent]
	client.nextSent = (client.nextSent + 1) % maxSentStates
	state.version = client.version
	state.classes = state.classes[:0]
	for _, assigned := range client.proxy.Tables {
		state.classes = append(state.classes, sentTable{table: assigned.Table, version: assigned.SentVersion})
	}
	client.unacknowledged = true
	s.unacknowledged++
}

// acknowledge handles the version that a poll names. The version is accepted only if it was sent to this proxy in this
// epoch and is still stored; otherwise the state of the proxy counts as unknown, and the proxy is sent full tables.
// Without the check, a proxy could be sent a delta to a state that it does not hold: after a restart, after lost
// answers, or if the version was never sent to it. The cost of the check is a full table.
func (s *Server) acknowledge(now float64, client *clientState, poll Poll) {
	if client.unacknowledged {
		client.unacknowledged = false
		s.unacknowledged--
	}
	client.baseVersion = 0
	if s.trustsVersions {
		s.fleet.MarkDelivered(now, client.proxy)
		return
	}
	state := client.sentState(poll.Version)
	if poll.Epoch != s.epoch || state == nil {
		if client.version > 0 || poll.Epoch != 0 {
			s.Stats.UnknownVersions++
		}
		s.reportHeldVersions(now, client, nil)
		return
	}
	client.baseVersion = poll.Version
	if poll.Version == client.version {
		s.fleet.MarkDelivered(now, client.proxy)
		return
	}
	s.Stats.LostAnswers++
	s.reportHeldVersions(now, client, state.classes)
}

// sentState returns the stored state of a version; nil if there is none.
func (c *clientState) sentState(version uint64) *sentState {
	if version == 0 {
		return nil
	}
	for i := range c.sent {
		if c.sent[i].version == version {
			return &c.sent[i]
		}
	}
	return nil
}

// reportHeldVersions reports to the fleet which versions of its assigned tables a proxy holds. If classes is empty, it
// holds none.
func (s *Server) reportHeldVersions(now float64, client *clientState, classes []sentTable) {
	versions := make([]tables.Version, len(client.proxy.Tables))
	for i, sent := range classes {
		assigned := &client.proxy.Tables[i]
		if assigned.Assigned && sent.table == assigned.Table {
			versions[i] = sent.version
		}
	}
	s.fleet.ObserveVersions(now, client.proxy, versions)
}
