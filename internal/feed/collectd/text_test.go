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

func lines(at, tries float64) []string {
	return []string{
		fmt.Sprintf(`PUTVAL r1/snowquay-10.0.0.1:80/snowquay_traffic interval=0.5 %.3f:%.0f:1:%.0f`, at, tries, tries*250000),
		fmt.Sprintf(`PUTVAL "r1/snowquay-search/snowquay_demand" %.3f:%.0f:0`, at, tries),
	}
}

func TestTextPackets(t *testing.T) {
	f := newFleet(t)
	c := New(f, "", "")
	for i, tries := range []float64{10, 30} {
		if err := c.Packet(1001+float64(i), []byte(strings.Join(lines(2000+float64(i)/2, tries), "\n"))); err != nil {
			t.Fatal(err)
		}
	}
	traffic, demand := f.LoadReports.Flush()
	if len(traffic) != 1 || traffic[0].Attempts != 20 || traffic[0].Interval != 0.5 || len(demand) != 1 || demand[0].Requests != 20 {
		t.Errorf("%+v, %+v", traffic, demand)
	}
	signed := New(f, "relays", "secret")
	if err := signed.Packet(1003, []byte(lines(2001, 50)[0])); !errors.Is(err, ErrInvalidPacket) {
		t.Error("text is accepted though packets must be signed")
	}
	for _, wrong := range []string{"PUTVAL ", "PUTVAL a/b 1:2", "PUTVAL a/b/c", "PUTVAL a/b/c N:1", "PUTVAL a/b/c 1:x", "PUTVAL a/b/c 1:-4", "PUTVAL a/b/c 1:1e3",
		`PUTVAL "a/b/c 1:2`, "PUTVAL a/b/c opt 1:2", "PUTVAL a//c 1:2", "PUTVAL a/b/c 1" + strings.Repeat(":1", 20), "PUTVAL " + strings.Repeat("a", 2000),
		"PUTVAL h/uptime/uptime 1:NaN", "PUTVAL a/b/c -1:2", "PUTVAL a/b/c inf:2"} {
		if _, err := parseLine(wrong); !errors.Is(err, ErrInvalidLine) {
			t.Errorf("%q is accepted", wrong)
		}
	}
}

// Malformed, duplicated and truncated lines do not change the reports of the valid ones.
func TestMalformedLinesChangeNothing(t *testing.T) {
	c := rand.New(rand.NewPCG(1, 2))
	run := func(dirty bool) (all [][]balancer.UpstreamReport) {
		f := newFleet(t)
		x := New(f, "", "")
		for i := range 200 {
			now := 1001 + float64(i)*0.5
			for _, l := range lines(2000+float64(i)*0.5, float64(10+7*i)) {
				packet := l
				if dirty {
					for range c.IntN(4) {
						b := []byte(l)
						switch c.IntN(4) {
						case 0: // a byte that is none of a number
							b[len(b)-1-c.IntN(5)] = "x;#\xff"[c.IntN(4)]
						case 1: // cut in the middle of what it says
							b = b[:c.IntN(strings.LastIndexByte(l, ' '))]
						case 2: // doubled, as it is
						case 3:
							b = []byte(strings.Repeat("PUTVAL ", c.IntN(4)) + string(b[7:20]))
						}
						if c.IntN(2) == 0 || string(b) == l {
							packet += "\n" + string(b)
						} else {
							packet = string(b) + "\n" + packet
						}
					}
				}
				_ = x.Packet(now, []byte(packet))
			}
			traffic, _ := f.LoadReports.Flush()
			all = append(all, traffic)
		}
		if dirty && (x.Malformed < 100 || f.LoadReports.Rejected.Stale < 30) {
			t.Errorf("%d garbled, %d old: the test tests nothing", x.Malformed, f.LoadReports.Rejected.Stale)
		}
		return all
	}
	if clean, dirty := run(false), run(true); !reflect.DeepEqual(clean, dirty) {
		t.Error("malformed lines change the reports")
	}
}

func FuzzText(f *testing.F) {
	for _, l := range lines(2000, 10) {
		f.Add(l)
	}
	f.Fuzz(func(t *testing.T, line string) {
		if l, err := parseLine(line); err == nil && (l.Host == "" || len(l.Values) == 0 || len(l.Values) > maxLineValues) {
			t.Errorf("%q is taken for %+v", line, l)
		}
		PacketUser([]byte(line))
	})
}
