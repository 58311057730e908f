package membership

import "testing"

func TestNextConfChange(t *testing.T) {
	s := &State{}
	for id := MemberID(1); id <= 4; id++ {
		apply(t, s, registerCommand(id))
	}
	config := ConsensusConfig{Voters: []MemberID{1, 2, 3}, Commit: 1000, Match: map[MemberID]uint64{}}
	expect := func(wantID MemberID, want ConfChange) {
		t.Helper()
		if id, change := s.NextConfChange(config); id != wantID || change != want {
			t.Errorf("with %+v, the next change is of member %d: %v", config, id, change)
		}
	}
	expect(4, AddLearner)
	config.ChangePending = true
	expect(0, NoChange)
	config.ChangePending = false
	config.Learners = []MemberID{4}
	expect(0, NoChange) // member 4 has not caught up
	config.Match[4] = 500
	expect(0, NoChange)
	config.Match[4] = 990
	expect(4, PromoteLearner)
	apply(t, s, Command{Kind: RemoveRegistration, MemberID: 2})
	expect(2, RemoveMember) // takes precedence
	config.Voters = []MemberID{1, 3, 4}
	config.Learners = nil
	expect(0, NoChange)
	config.Voters = []MemberID{1, 3, 4, 8, 9}
	expect(0, NoChange) // voters that are not registered yet are not removed
}
