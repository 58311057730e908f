package collectd

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"snowquay/balancer"
)

// lines returns the lines of proxy r1 that report traffic and demand.
func lines(at, attempts float64) []string {
	return []string{
		fmt.Sprintf(`PUTVAL r1/snowquay-10.0.0.1:80/snowquay_traffic interval=0.5 %.3f:%.0f:1:%.0f`, at, attempts, attempts*250000),
		fmt.Sprintf(`PUTVAL "r1/snowquay-search/snowquay_demand" %.3f:%.0f:0`, at, attempts),
	}
}

func TestTextPackets(t *testing.T) {
	f := newFleet(t)
	collector := New(f, "", "")
	for i, attempts := range []float64{10, 30} {
		if err := collector.Packet(1001+float64(i), []byte(strings.Join(lines(2000+float64(i)/2, attempts), "\n"))); err != nil {
			t.Fatal(err)
		}
	}
	traffic, demand := f.LoadReports.Flush()
	if len(traffic) != 1 || traffic[0].Attempts != 20 || traffic[0].Interval != 0.5 || len(demand) != 1 || demand[0].Requests != 20 {
		t.Errorf("upstream reports %+v, demand reports %+v", traffic, demand)
	}
	signed := New(f, "relays", "secret")
	if err := signed.Packet(1003, []byte(lines(2001, 50)[0])); !errors.Is(err, ErrInvalidPacket) {
		t.Error("plain text is accepted although packets must be signed")
	}
	for _, invalid := range []string{"PUTVAL ", "PUTVAL a/b 1:2", "PUTVAL a/b/c", "PUTVAL a/b/c N:1", "PUTVAL a/b/c 1:x", "PUTVAL a/b/c 1:-4", "PUTVAL a/b/c 1:1e3",
		`PUTVAL "a/b/c 1:2`, "PUTVAL a/b/c opt 1:2", "PUTVAL a//c 1:2", "PUTVAL a/b/c 1" + strings.Repeat(":1", 20), "PUTVAL " + strings.Repeat("a", 2000),
		"PUTVAL h/uptime/uptime 1:NaN", "PUTVAL a/b/c -1:2", "PUTVAL a/b/c inf:2"} {
		if _, err := parseLine(invalid); !errors.Is(err, ErrInvalidLine) {
			t.Errorf("the invalid line %q is accepted", invalid)
		}
	}
}

// Malformed, duplicated and truncated lines must not change the reports that result from the valid lines.
func TestMalformedLinesChangeNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	run := func(withMalformed bool) (all [][]balancer.UpstreamReport) {
		f := newFleet(t)
		collector := New(f, "", "")
		for i := range 200 {
			now := 1001 + float64(i)*0.5
			for _, l := range lines(2000+float64(i)*0.5, float64(10+7*i)) {
				packet := l
				if withMalformed {
					for range random.IntN(4) {
						b := []byte(l)
						switch random.IntN(4) {
						case 0: // a byte that is invalid in a number
							b[len(b)-1-random.IntN(5)] = "x;#\xff"[random.IntN(4)]
						case 1: // truncated before the values
							b = b[:random.IntN(strings.LastIndexByte(l, ' '))]
						case 2: // duplicated unchanged
						case 3: // zero to three commands before a part of the identifier
							b = []byte(strings.Repeat("PUTVAL ", random.IntN(4)) + string(b[7:20]))
						}
						if random.IntN(2) == 0 || string(b) == l {
							packet += "\n" + string(b)
						} else {
							packet = string(b) + "\n" + packet
						}
					}
				}
				_ = collector.Packet(now, []byte(packet))
			}
			traffic, _ := f.LoadReports.Flush()
			all = append(all, traffic)
		}
		if withMalformed && (collector.Malformed < 100 || f.LoadReports.Rejected.Stale < 30) {
			t.Errorf("only %d malformed lines and %d stale reports: too few to test anything", collector.Malformed, f.LoadReports.Rejected.Stale)
		}
		return all
	}
	if clean, withMalformed := run(false), run(true); !reflect.DeepEqual(clean, withMalformed) {
		t.Error("malformed lines changed the reports")
	}
}

func FuzzText(f *testing.F) {
	for _, l := range lines(2000, 10) {
		f.Add(l)
	}
	f.Fuzz(func(t *testing.T, line string) {
		if l, err := parseLine(line); err == nil && (l.Host == "" || len(l.Values) == 0 || len(l.Values) > maxLineValues) {
			t.Errorf("%q is parsed as %+v", line, l)
		}
		PacketUser([]byte(line))
	})
}
