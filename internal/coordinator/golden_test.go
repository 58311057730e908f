package coordinator

import (
	"net/netip"
	"testing"

	"snowquay/internal/core/membership"
	"snowquay/internal/golden"
)

func TestGroupStatusOnTheWire(t *testing.T) {
	golden.JSON(t, "status.json", Status{Number: 1, Leader: 2, Commit: 99, Epoch: 5, HoldsLease: true, Failed: "the disk failed",
		Registrations: map[membership.MemberID]membership.Registration{1: {Peer: "c1", Address: netip.MustParseAddrPort("127.0.0.1:7001"), Removed: true}},
		Members:       map[membership.Peer]membership.Member{"c1": {Weight: 1, Renewal: 20, Incarnation: 77, Alive: true, SeenEpoch: 5, AppliedOrders: 9}}, Drains: 3})
}
