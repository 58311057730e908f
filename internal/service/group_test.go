package service

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"snowquay/internal/core/membership"
	"snowquay/internal/golden"
	"snowquay/internal/settings"
	"snowquay/internal/wire/sasp"
)

const groupKey = "a key of sixteen bytes, and more"

// memberConfig returns the example settings for one member of a group.
func memberConfig(t *testing.T, dir string, number, count int, joins bool) *settings.Coordinator {
	t.Helper()
	var peers strings.Builder
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&peers, `<peer number="%d" address="127.0.0.1:%d"/>`, i, 15200+i)
	}
	group := fmt.Sprintf(`<group number="%d" key="%s" store="%s" joins="%t">%s</group>`, number, groupKey,
		filepath.Join(dir, fmt.Sprint(number, ".group")), joins, peers.String())
	return parseExample(t,
		":3860", fmt.Sprint(":", 15210+number),
		":25826", fmt.Sprint(":", 15220+number),
		":9464", fmt.Sprint(":", 15230+number),
		"snowquay.db", filepath.Join(dir, fmt.Sprint(number, ".db")),
		`<zone name="north"/>`, group+`<zone name="north"/>`)
}

// runningMember is a running coordinator that is a member of a group.
type runningMember struct {
	*runningProgram
	config *settings.Coordinator
}

func startMember(config *settings.Coordinator) *runningMember {
	return &runningMember{runningProgram: startCoordinator(config), config: config}
}

// sendAndReceive sends messages of a server, waits for the reply to each, and returns the code of the last reply.
func sendAndReceive(t *testing.T, at string, messages ...*sasp.Message) sasp.Code {
	t.Helper()
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		t.Fatal(err)
	}
	code := sasp.Code(0xff)
	for _, m := range messages {
		if _, err := c.Write(sasp.Append(nil, m)); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 4096)
		n, err := io.ReadAtLeast(c, buf, 10)
		if err != nil {
			t.Fatal(err)
		}
		var reply sasp.Message
		if err := sasp.Decode(buf[:n], &reply); err != nil {
			t.Fatal(err)
		}
		code = reply.Code
	}
	return code
}

// One of three coordinators confirms a drain and leaves, and the other two still have the drain. A member is removed
// and replaced by one with a new number.
func TestServeInGroup(t *testing.T) {
	dir := t.TempDir()
	all := map[int]*runningMember{}
	for n := 1; n <= 3; n++ {
		all[n] = startMember(memberConfig(t, dir, n, 3, false))
	}
	status := func(n int) (alive, drains int, holdsLease bool) {
		s, err := GroupStatus(all[n].config.Group.Members[membership.MemberID(n)], []byte(groupKey))
		if err != nil {
			return 0, 0, false
		}
		for _, m := range s.Members {
			if m.Alive {
				alive++
			}
		}
		return alive, s.Drains, s.HoldsLease
	}
	for n := 1; n <= 3; n++ {
		eventually(t, fmt.Sprint(n, " holds no lease or does not see 3 live members"), func() bool { alive, _, holdsLease := status(n); return alive == 3 && holdsLease })
	}
	// The standing server of the settings has the address [::1], but the settings accept messages about a server only
	// from its own host. So a server on the host of this connection registers and is drained.
	member := &sasp.Message{Kind: sasp.SetMember, Groups: []sasp.Group{{UID: []byte("fleet"), Name: []byte("search"), To: 1}},
		Rows: []sasp.Row{{Address: sasp.AddressOf(all[1].config.SASP), Flags: sasp.Quiesce}}}
	register := &sasp.Message{Kind: sasp.Registration, Groups: member.Groups, Rows: []sasp.Row{{Address: sasp.AddressOf(all[1].config.SASP)}}}
	if code := sendAndReceive(t, all[2].config.SASP.String(), register, member); code != sasp.OK {
		t.Fatalf("the reply to the drain has code %s, want OK", code)
	}
	all[2].end(t)
	for _, n := range []int{1, 3} {
		alive, drains, _ := status(n)
		if drains != 1 || alive != 2 {
			t.Errorf("coordinator %d has %d drains and %d live members right after an orderly leave, want 1 and 2", n, drains, alive)
		}
	}
	if !strings.Contains(get(t, "http://127.0.0.1:15231/metrics"), "snowquay_group_drains 1") {
		t.Error("the metrics do not count the drain")
	}
	golden.Bytes(t, "metrics-group.txt", metricNames(get(t, "http://127.0.0.1:15231/metrics")))
	if err := RemoveMember(all[1].config.Group, 2, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	all[4] = startMember(memberConfig(t, dir, 4, 4, true))
	eventually(t, "the new member holds no lease, or lacks the drain or a live member", func() bool { alive, drains, holdsLease := status(4); return alive == 3 && drains == 1 && holdsLease })
	removed := startMember(memberConfig(t, dir, 2, 3, false))
	if err := <-removed.done; err == nil || !strings.Contains(err.Error(), "the coordinator was removed from the group") {
		t.Errorf("a removed member that was started again ended with %v, want the error that it was removed", err)
	}
	if _, err := GroupStatus(all[1].config.Group.Members[1], []byte("another key of sixteen bytes")); err == nil {
		t.Error("a status request with another key got a reply")
	}
	for _, n := range []int{1, 3, 4} {
		all[n].end(t)
	}
}

// A coordinator does not start with a damaged consensus log.
func TestServeRejectsDamagedGroupStore(t *testing.T) {
	dir := t.TempDir()
	c := memberConfig(t, dir, 1, 3, false)
	if err := os.WriteFile(c.GroupStore, []byte("this is no store at all, but long enough to be looked at"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := <-startMember(c).done; err == nil {
		t.Error("the coordinator started with a file that is not a consensus log")
	}
}

// BenchmarkDrain measures the time from the request of a drain to its confirmation, by a single coordinator and by
// one of a group of three, all on one machine and its disk.
func BenchmarkDrain(b *testing.B) {
	for _, count := range []int{0, 3} {
		b.Run(fmt.Sprint(count, "-in-the-group"), func(b *testing.B) {
			t := &testing.T{}
			dir := b.TempDir()
			var all []*runningMember
			for n := 1; n <= max(count, 1); n++ {
				c := memberConfig(t, dir, n, max(count, 1), false)
				if count == 0 {
					c.Group = nil
				}
				all = append(all, startMember(c))
			}
			time.Sleep(2 * time.Second)
			at := all[0].config.SASP
			c, err := net.Dial("tcp", at.String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			buf := make([]byte, 4096)
			exchange := func(m *sasp.Message) {
				if _, err := c.Write(sasp.Append(nil, m)); err != nil {
					b.Fatal(err)
				}
				n, err := io.ReadAtLeast(c, buf, 10)
				if err != nil {
					b.Fatal(err)
				}
				var reply sasp.Message
				if err := sasp.Decode(buf[:n], &reply); err != nil || reply.Code != sasp.OK {
					b.Fatal(err, reply.Code)
				}
			}
			groups := []sasp.Group{{UID: []byte("fleet"), Name: []byte("search"), To: 1}}
			exchange(&sasp.Message{Kind: sasp.Registration, Groups: groups, Rows: []sasp.Row{{Address: sasp.AddressOf(at)}}})
			flags := uint8(0)
			for b.Loop() {
				flags ^= sasp.Quiesce
				exchange(&sasp.Message{Kind: sasp.SetMember, Groups: groups, Rows: []sasp.Row{{Address: sasp.AddressOf(at), Flags: flags}}})
			}
			for _, s := range all {
				s.end(b)
			}
		})
	}
}
