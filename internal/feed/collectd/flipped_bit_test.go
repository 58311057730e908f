package collectd

import (
	"bytes"
	"testing"
)

// A complete packet that is rejected because of a flipped bit must not add any series, not even for the valid
// values before the damage.
func TestRejectedPacketWithFlippedBitChangesNothing(t *testing.T) {
	good := packet(2000, 10, "")
	rejected := 0
	for i := range good {
		for bit := range 8 {
			fleet := newFleet(t)
			before := fleet.LoadReports.Len()
			damaged := bytes.Clone(good)
			damaged[i] ^= 1 << bit
			if err := New(fleet, "", "").Packet(1001, damaged); err == nil {
				continue // the packet is still valid, with another content
			}
			rejected++
			if series := fleet.LoadReports.Len(); series != before {
				t.Errorf("byte %d, bit %d: the packet was rejected, but added %d series", i, bit, series-before)
			}
		}
	}
	if rejected == 0 {
		t.Error("no packet was rejected")
	}
}
