package coordinator_test

import (
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/core/membership"
	"snowquay/internal/wire/peer"
)

// drawFrame draws a random frame that a tool or a peer with the group's key may send.
func drawFrame(rt *rapid.T) peer.Frame {
	frame := peer.Frame{
		From:      rapid.SampledFrom([]uint64{0, 0, 2, 3, 9}).Draw(rt, "from"),
		To:        rapid.SampledFrom([]uint64{0, 1, 1, 2}).Draw(rt, "to"),
		DataDirID: rapid.Uint64Range(0, 4).Draw(rt, "data directory"),
		Commit:    rapid.SampledFrom([]uint64{0, 1, 1 << 40}).Draw(rt, "commit"),
		Kind:      peer.Kind(rapid.IntRange(0, 8).Draw(rt, "kind")),
	}
	command := membership.Command{
		Kind:     membership.CommandKind(rapid.IntRange(0, 10).Draw(rt, "command")),
		MemberID: membership.MemberID(rapid.IntRange(0, 9).Draw(rt, "member")),
		Peer:     membership.Peer(rapid.SampledFrom([]string{"", "c2", "c9"}).Draw(rt, "peer")),
	}
	if command.Kind == membership.RemoveRegistration { // a removal is authorized and would end a member of the group
		command.MemberID = 9
	}
	text, _ := command.Encode()
	frame.Message = rapid.SampledFrom([][]byte{nil, text, []byte("{"), {0xff, 0, 1}}).Draw(rt, "message")
	return frame
}

// Tools and peers send arbitrary sequences of frames and may be killed afterwards. No member panics or fails, a later status
// request is answered, and the members keep their leases.
func TestPeerFrameSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newMemberGroup(rapid.Uint64Range(1, 1000).Draw(rt, "seed"), 3)
		g.run(4)
		for i := range rapid.IntRange(1, 8).Draw(rt, "tools") {
			tool := &groupTool{to: memberAddress(1)}
			for range rapid.IntRange(1, 6).Draw(rt, "frames") {
				tool.frames = append(tool.frames, drawFrame(rt))
			}
			host := g.net.Add(netip.AddrFrom4([4]byte{10, 8, 0, byte(i + 1)}), 0, true)
			host.Start(tool)
			g.run(rapid.Float64Range(0, 1).Draw(rt, "seconds"))
			if rapid.Bool().Draw(rt, "ends") {
				host.Kill()
			}
		}
		requester := &groupTool{to: memberAddress(1), frames: []peer.Frame{{To: 1, Kind: peer.StatusRequest}}}
		g.net.Add(netip.AddrFrom4([4]byte{10, 8, 1, 1}), 0, true).Start(requester)
		g.run(3)
		if requester.reply == "" {
			rt.Error("a status request was not answered")
		}
		for id, member := range g.members {
			if member.Failed != nil || !g.holdsLease(id) {
				rt.Errorf("member %d: error %v, holds its lease: %t; want no error, true", id, member.Failed, g.holdsLease(id))
			}
		}
	})
}

// Guards against a peer that asks for the status at full speed and reads nothing: the replies took more memory than the process had.
func TestUnreadStatusRepliesAreBounded(t *testing.T) {
	g := newMemberGroup(1, 1)
	request := peer.Frame{To: 1, Kind: peer.StatusRequest}
	flooding := &groupTool{to: memberAddress(1), frames: slices.Repeat([]peer.Frame{request}, 5000)}
	g.net.Add(netip.AddrFrom4([4]byte{10, 8, 0, 1}), 0, true).Start(flooding)
	g.run(2)
	if !flooding.closed {
		t.Error("a peer with thousands of unread replies stays connected")
	}
	polite := &groupTool{to: memberAddress(1), frames: slices.Repeat([]peer.Frame{request}, 20)}
	g.net.Add(netip.AddrFrom4([4]byte{10, 8, 0, 2}), 0, true).Start(polite)
	g.run(2)
	if polite.closed || polite.reply == "" {
		t.Errorf("another peer is connected: %v, has a reply: %v; want both", !polite.closed, polite.reply != "")
	}
}
