package membership

import (
	"maps"
	"slices"
)

// ConsensusConfig describes the members of the consensus and their progress, as known to the consensus leader.
type ConsensusConfig struct {
	Voters        []MemberID
	Learners      []MemberID
	Match         map[MemberID]uint64 // by member, the highest log index that it is known to have stored
	Commit        uint64              // highest committed log index
	ChangePending bool                // a configuration change was proposed and is not applied yet
}

// ConfChange is a change of the consensus membership.
type ConfChange int

// Consensus membership changes.
const (
	NoChange       ConfChange = iota
	AddLearner                // a new coordinator receives the log but has no vote
	PromoteLearner            // a learner that has caught up becomes a voter
	RemoveMember
)

const (
	maxVoters     = 7  // more voters would slow down every commit without adding safety
	maxLearnerLag = 64 // log entries, a few seconds of renewals, by which a learner may be behind when it is promoted
)

// NextConfChange returns the membership change that the consensus leader has to propose next, and the member that it concerns. It depends
// on the state and the configuration alone, so a new leader continues where the former one stopped. A new coordinator is a learner first,
// since every commit would have to wait for a voter whose log is still empty.
func (s *State) NextConfChange(config ConsensusConfig) (MemberID, ConfChange) {
	if config.ChangePending {
		return 0, NoChange
	}
	ids := slices.Sorted(maps.Keys(s.Registrations))
	for _, id := range ids { // removals first: a smaller group reaches a majority more easily
		participates := slices.Contains(config.Voters, id) || slices.Contains(config.Learners, id)
		if s.Registrations[id].Removed && participates {
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
