package collectd

import (
	"bytes"
	"testing"
)

// A whole packet with a flipped bit that is rejected for it changes nothing.
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
				continue // it says something else now
			}
			rejected++
			if series := fleet.LoadReports.Len(); series != before {
				t.Errorf("byte %d, bit %d: rejected, and %d series more", i, bit, series-before)
			}
		}
	}
	if rejected == 0 {
		t.Error("none was rejected")
	}
}
