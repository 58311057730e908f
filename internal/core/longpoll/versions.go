package longpoll

import (
	"snowquay/balancer"
	"snowquay/internal/core/tables"
)

// sentStatesKept is the number of latest answers to a proxy whose versions it may name: one that it holds, one in flight,
// and two spare.
const sentStatesKept = 4

// sentState is the state of the tables that an answer brought a proxy to.
type sentState struct {
	version uint64
	classes []sentTable // by class
}

// sentTable is the table that a class was assigned when an answer was sent, and the version of it that was sent.
type sentTable struct {
	table   balancer.Table
	version tables.Version
}

// recordSent gives an answer a new version and remembers the state that it stands for. The numbers are shared by all
// proxies, so that a proxy which leaves and comes back never finds its old versions given to other states.
func (s *Server) recordSent(client *clientState) {
	s.lastVersion++
	client.version = s.lastVersion
	state := &client.sent[client.nextSent]
	client.nextSent = (client.nextSent + 1) % sentStatesKept
	state.version = client.version
	state.classes = state.classes[:0]
	for _, assigned := range client.proxy.Tables {
		state.classes = append(state.classes, sentTable{table: assigned.Table, version: assigned.SentVersion})
	}
	client.unacknowledged = true
	s.unacknowledged++
}

// acknowledge takes the version that a poll names. It is believed only if it was sent to this proxy in this epoch;
// otherwise nothing is known of what the proxy holds. It guards against deltas to a state that is not there: after a
// restart, after lost answers, or from a proxy that was never sent what it names. The cost is a full table.
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
		s.observe(now, client, nil)
		return
	}
	client.baseVersion = poll.Version
	if poll.Version == client.version {
		s.fleet.MarkDelivered(now, client.proxy)
		return
	}
	s.Stats.LostAnswers++
	s.observe(now, client, state.classes)
}

// sentState returns the remembered state of a version, nil if there is none.
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

// observe reports to the fleet what a proxy holds of its assigned tables; without classes it holds nothing.
func (s *Server) observe(now float64, client *clientState, classes []sentTable) {
	versions := make([]tables.Version, len(client.proxy.Tables))
	for i, sent := range classes {
		assigned := &client.proxy.Tables[i]
		if assigned.Assigned && sent.table == assigned.Table {
			versions[i] = sent.version
		}
	}
	s.fleet.ObserveVersions(now, client.proxy, versions)
}
