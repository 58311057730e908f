package membership

import (
	"maps"
	"slices"
)

// ConsensusConfig is who takes part in consensus, as its leader knows it.
type ConsensusConfig struct {
	Voters        []MemberID
	Learners      []MemberID
	Match         map[MemberID]uint64 // index of the newest log entry that each is known to have
	Commit        uint64              // index of the newest committed log entry
	ChangePending bool                // a change is proposed and not applied yet
}

// ConfChange is a change of who takes part in consensus.
type ConfChange int

// Changes of who takes part.
const (
	NoChange       ConfChange = iota
	AddLearner                // a new coordinator receives the log without a vote
	PromoteLearner            // a learner that has caught up gets a vote
	RemoveMember
)

const (
	maxVoters     = 7  // more make every agreement slower and no safer
	maxLearnerLag = 64 // log entries, some seconds of renewals, by which a learner may be behind when it gets a vote
)

// NextConfChange returns the change that the leader of consensus has to propose next, and for which member. It follows from the state and
// the configuration alone, so a new leader continues where the former one stopped. A new coordinator is a learner before it votes: every
// agreement would have to wait for a voter with an empty log.
func (s *State) NextConfChange(config ConsensusConfig) (MemberID, ConfChange) {
	if config.ChangePending {
		return 0, NoChange
	}
	ids := slices.Sorted(maps.Keys(s.Registrations))
	for _, id := range ids { // removals first: a majority of fewer is easier to reach
		takesPart := slices.Contains(config.Voters, id) || slices.Contains(config.Learners, id)
		if s.Registrations[id].Removed && takesPart {
			return id, RemoveMember
		}
	}
	for _, id := range ids {
		switch {
		case s.Registrations[id].Removed || slices.Contains(config.Voters, id):
			continue
		case !slices.Contains(config.Learners, id):
			return id, AddLearner
		case config.caughtUp(id) && len(config.Voters) < maxVoters:
			return id, PromoteLearner
		}
	}
	return 0, NoChange
}

func (c ConsensusConfig) caughtUp(id MemberID) bool {
	return c.Match[id] > 0 && c.Match[id]+maxLearnerLag >= c.Commit
}
