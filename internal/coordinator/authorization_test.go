package coordinator_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/wire/peer"
)

// A member whose data directory was emptied has lost its votes. It is refused under its old number, also by members that have
// restarted since, and fails with an error that says so. Under a new number it can join.
func TestEmptiedDataDirNeedsNewNumber(t *testing.T) {
	group := newMemberGroup(1, 3)
	if !group.holdsLease(1) || !group.holdsLease(2) || !group.holdsLease(3) {
		t.Fatal("not all members hold a lease initially")
	}
	group.hosts[3].Kill()
	group.hosts[2].Kill()
	group.storage[3] = &consensus.MemoryStorage{OwnDataDirID: 999}
	group.start(2, coordinator.GroupConfig{Members: group.addresses})
	group.start(3, coordinator.GroupConfig{Members: group.addresses})
	group.run(8)
	failure := group.members[3].Failed
	if !errors.Is(failure, coordinator.ErrRefused) || !strings.Contains(failure.Error(), "new number") {
		t.Errorf("member 3 with an emptied data directory failed with %v, want a refusal of its old number; log:\n%s", failure, strings.Join(group.logLines, "\n"))
	}
	if !group.holdsLease(1) || !group.holdsLease(2) {
		t.Error("members 1 and 2 lost their leases")
	}

	group.addHost(4)
	group.addresses[4] = memberAddress(4)
	delete(group.addresses, 3)
	group.start(4, coordinator.GroupConfig{Members: group.addresses, Join: true})
	group.run(8)
	if !group.holdsLease(4) || !group.members[4].Group.Registered() {
		t.Errorf("member 4 has not joined, error %v", group.members[4].Failed)
	}

	// Member 3 still counts for the quorum: with member 1 down, members 2 and 4 are two of four voters.
	group.hosts[1].Kill()
	group.run(8)
	if group.holdsLease(2) || group.holdsLease(4) {
		t.Error("members hold leases with two of four voters up")
	}
	group.start(1, coordinator.GroupConfig{Members: group.addresses})
	group.run(8)
	frames := []peer.Frame{{Kind: peer.Command, Message: removeMember(t, 3)}, {Kind: peer.StatusRequest}}
	tool := &groupTool{to: group.addresses[2], frames: frames}
	group.net.Add(netip.AddrFrom4([4]byte{10, 0, 0, 99}), 9, false).Start(tool)
	group.run(4)
	if !strings.Contains(tool.reply, `"gone":true`) && !strings.Contains(tool.reply, `"number":2`) {
		t.Errorf("status reply %s is neither from member 2 nor shows a removed member", tool.reply)
	}
	group.hosts[1].Kill()
	group.run(8)
	if !group.holdsLease(2) || !group.holdsLease(4) {
		t.Error("members 2 and 4 do not hold leases after the removal of member 3")
	}
}

// Connections with a wrong key, of another protocol version, or with forged or malformed frames are closed, and the group is not
// affected.
func TestUnauthorizedPeersAreRefused(t *testing.T) {
	renewal := []byte(`{"kind":1,"peer":"c1","weight":1,"renewal":99999}`)
	expiry := []byte(`{"kind":2,"peer":"c1","renewal":5}`)
	cases := map[string]*groupTool{
		"wrong key":                       {key: "x", frames: []peer.Frame{{Kind: peer.StatusRequest}}},
		"lease renewal":                   {frames: []peer.Frame{{Kind: peer.Command, Message: renewal}}},
		"lease expiry":                    {frames: []peer.Frame{{Kind: peer.Command, Message: expiry}}},
		"malformed command":               {frames: []peer.Frame{{Kind: peer.Command, Message: []byte(`{`)}}},
		"consensus without member number": {frames: []peer.Frame{{Kind: peer.Consensus, Message: []byte(`x`)}}},
		"addressed to another member":     {frames: []peer.Frame{{To: 3, Kind: peer.StatusRequest}}},
		"another member's number":         {frames: []peer.Frame{{From: 1, DataDirID: 5, Kind: peer.Consensus, Message: []byte(`x`)}}},
	}
	group := newMemberGroup(2, 3)
	address := byte(100)
	for name, tool := range cases {
		tool.to = group.addresses[2]
		group.net.Add(netip.AddrFrom4([4]byte{10, 0, 1, address}), 0, false).Start(tool)
		address++
		group.run(1)
		t.Run(name, func(t *testing.T) {
			if !tool.closed {
				t.Error("the connection is still open")
			}
		})
	}
	olderVersion := &rawClient{to: group.addresses[2], data: []byte("SQP1 is the older version's word")}
	group.net.Add(netip.AddrFrom4([4]byte{10, 0, 1, 99}), 0, false).Start(olderVersion)
	group.run(1)
	if !olderVersion.closed || !group.logged("this version's with") {
		t.Error("the connection of a peer of another version is not closed, or the log does not name the version")
	}
	for id := membership.MemberID(1); id <= 3; id++ {
		if !group.holdsLease(id) || group.members[id].Group.State.Members["c1"].Renewal > 1000 {
			t.Errorf("member %d has lost its lease or applied a forged renewal", id)
		}
	}
}
