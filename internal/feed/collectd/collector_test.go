package collectd

import (
	"bytes"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/registry"
)

// newFleet returns a fleet with one server, one request class and the proxy r1.
func newFleet(t testing.TB) *controlplane.Fleet {
	t.Helper()
	f, err := controlplane.New(1000, controlplane.Site{ClassNames: []string{"search"}, Classes: []balancer.RequestClass{{LatencyObjective: 1}},
		AllowUnlisted: true, Limits: controlplane.DefaultLimits, Reporting: balancer.Reporting{Period: 0.5},
		Servers: []registry.ServerConfig{{Server: "10.0.0.1:80", Weight: 1, Static: true}}}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Join(1000, "r1", nil, true); err != nil {
		t.Fatal(err)
	}
	return f
}

// packet returns a packet of proxy r1 that reports traffic, demand and an uptime.
func packet(now, attempts float64, key string) (out []byte) {
	p := NewPacketWriter(now, "r1", "relays", key, func(b []byte) { out = bytes.Clone(b) })
	p.Traffic("10.0.0.1:80", loadreport.Totals{Attempts: attempts, Failed: 1, LatencySum: attempts / 4})
	p.Demand("search", loadreport.Totals{Attempts: attempts})
	p.Uptime(77)
	p.Flush()
	return out
}

func TestPacketWriterRoundTrip(t *testing.T) {
	for _, key := range []string{"", "secret"} {
		f := newFleet(t)
		c := New(f, "relays", key)
		for i, b := range [][]byte{packet(2000, 10, key), packet(2000.5, 30, key), packet(2000.5, 30, key)} {
			if err := c.Packet(1001+float64(i), b); err != nil {
				t.Fatal(err)
			}
		}
		traffic, demand := f.LoadReports.Flush()
		if len(traffic) != 1 || traffic[0].Attempts != 20 || traffic[0].Latency != 0.25 || traffic[0].Interval != 0.5 ||
			len(demand) != 1 || demand[0].Requests != 20 {
			t.Errorf("key %q: upstream reports %+v, demand reports %+v", key, traffic, demand)
		}
		if f.LoadReports.Rejected.Stale != 2 {
			t.Errorf("rejected reports %+v, want 2 stale ones of the duplicated packet", f.LoadReports.Rejected)
		}
	}
}

func TestUnsignedPacketsAreRejected(t *testing.T) {
	f := newFleet(t)
	c := New(f, "relays", "secret")
	signed := packet(2000, 10, "secret")
	forged := bytes.Clone(signed)
	forged[len(forged)-1] ^= 1
	for _, b := range [][]byte{packet(2000, 10, ""), packet(2000, 10, "other"), forged, signed[:60]} {
		_ = c.Packet(1001, b)
	}
	if f.LoadReports.Len() != 0 {
		t.Errorf("%d series are stored from packets without a valid signature", f.LoadReports.Len())
	}
	if err := c.Packet(1001, signed); err != nil || f.LoadReports.Len() != 2 {
		t.Errorf("packet with a valid signature: error %v, %d series stored, want 2", err, f.LoadReports.Len())
	}
}

func TestMalformedPacketsChangeNothing(t *testing.T) {
	f := newFleet(t)
	c := New(f, "", "")
	good := packet(2000, 10, "")
	for i := range good {
		for _, bit := range []byte{1, 0x80} {
			b := bytes.Clone(good)
			b[i] ^= bit
			_ = c.Packet(1001, b[:max(i, 1)]) // truncated just before the flipped byte
		}
	}
	before := f.LoadReports.Len()
	for _, b := range [][]byte{nil, {0}, {0, 0, 0, 0}, {0, 6, 0, 15, 0xff, 0xff}, bytes.Repeat([]byte{0xff}, 1400)} {
		_ = c.Packet(1001, b)
	}
	if f.LoadReports.Len() != before || c.Malformed == 0 {
		t.Errorf("%d series were added by malformed packets, %d packets were counted as malformed", f.LoadReports.Len()-before, c.Malformed)
	}
}

func FuzzPacket(f *testing.F) {
	f.Add(packet(2000, 10, ""))
	f.Add(packet(2000, 10, "secret"))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, key := range []string{"", "secret"} {
			_ = New(newFleet(t), "relays", key).Packet(1001, b)
		}
	})
}
