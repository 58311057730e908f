package service

import (
	"fmt"
	"io"
	"log/slog"
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

// groupXML is the example's settings for one of three.
func groupXML(t *testing.T, dir string, number, count int, joins bool) *settings.Coordinator {
	t.Helper()
	text, err := os.ReadFile("../../docs/example.xml")
	if err != nil {
		t.Fatal(err)
	}
	var peers strings.Builder
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&peers, `<peer number="%d" address="127.0.0.1:%d"/>`, i, 15200+i)
	}
	c, err := settings.ParseCoordinator("example.xml", []byte(strings.NewReplacer(":3860", fmt.Sprint(":", 15210+number), ":25826",
		fmt.Sprint(":", 15220+number), ":9464", fmt.Sprint(":", 15230+number), "snowquay.db", filepath.Join(dir, fmt.Sprint(number, ".db")),
		`<zone name="north"/>`, fmt.Sprintf(`<group number="%d" key="%s" store="%s" joins="%t">%s</group><zone name="north"/>`, number,
			groupKey, filepath.Join(dir, fmt.Sprint(number, ".group")), joins, peers.String())).Replace(string(text))))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

type served struct {
	c    *settings.Coordinator
	stop chan os.Signal
	done chan error
}

func serveOne(c *settings.Coordinator) *served {
	s := &served{c, make(chan os.Signal, 1), make(chan error, 1)}
	go func() {
		s.done <- Serve(c, slog.New(slog.DiscardHandler), s.stop)
	}()
	return s
}

func (s *served) end(t *testing.T) {
	t.Helper()
	s.stop <- os.Interrupt
	if err := <-s.done; err != nil {
		t.Error(err)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// tell sends a member's words and returns the code of the last answer.
func tell(t *testing.T, at string, messages ...*sasp.Message) sasp.Code {
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

// Three coordinators run from settings files: one is told of a drain and leaves, the others know it; one is taken out
// and replaced under a new number.
func TestServeInAGroup(t *testing.T) {
	dir := t.TempDir()
	all := map[int]*served{}
	for n := 1; n <= 3; n++ {
		all[n] = serveOne(groupXML(t, dir, n, 3, false))
	}
	status := func(n int) (living, drains int, leads bool) {
		s, err := GroupStatus(all[n].c.Group.Members[membership.MemberID(n)], []byte(groupKey))
		if err != nil {
			return 0, 0, false
		}
		for _, m := range s.Members {
			if m.Alive {
				living++
			}
		}
		return living, s.Drains, s.HoldsLease
	}
	for n := 1; n <= 3; n++ {
		eventually(t, fmt.Sprint(n, " does not lead"), func() bool { living, _, leads := status(n); return living == 3 && leads })
	}
	// The server at [::1] stands; the settings allow members to speak from their own host only, so it is told from there.
	member := &sasp.Message{Kind: sasp.SetMember, Groups: []sasp.Group{{UID: []byte("fleet"), Name: []byte("search"), To: 1}},
		Rows: []sasp.Row{{Address: sasp.AddressOf(all[1].c.SASP), Flags: sasp.Quiesce}}}
	register := &sasp.Message{Kind: sasp.Registration, Groups: member.Groups, Rows: []sasp.Row{{Address: sasp.AddressOf(all[1].c.SASP)}}}
	if code := tell(t, all[2].c.SASP.String(), register, member); code != sasp.OK {
		t.Fatalf("the drain was answered with %s", code)
	}
	all[2].end(t)
	for _, n := range []int{1, 3} {
		living, drains, _ := status(n)
		if drains != 1 || living != 2 {
			t.Errorf("%d knows %d drains and %d living, at once after an orderly end", n, drains, living)
		}
	}
	if !strings.Contains(get(t, "http://127.0.0.1:15231/metrics"), "snowquay_group_drains 1") {
		t.Error("the metrics do not tell")
	}
	golden.Bytes(t, "metrics-group.txt", metricNames(get(t, "http://127.0.0.1:15231/metrics")))
	if err := RemoveMember(all[1].c.Group, 2, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	all[4] = serveOne(groupXML(t, dir, 4, 4, true))
	eventually(t, "the new one does not lead", func() bool { living, drains, leads := status(4); return living == 3 && drains == 1 && leads })
	back := serveOne(groupXML(t, dir, 2, 3, false))
	if err := <-back.done; err == nil || !strings.Contains(err.Error(), "taken this coordinator out") {
		t.Errorf("one that was taken out came back: %v", err)
	}
	if _, err := GroupStatus(all[1].c.Group.Members[1], []byte("another key of sixteen bytes")); err == nil {
		t.Error("a tool with another key was answered")
	}
	for _, n := range []int{1, 3, 4} {
		all[n].end(t)
	}
}

// A folder that is damaged or another's is told plainly, and nothing runs.
func TestServeRefusesABadFolder(t *testing.T) {
	dir := t.TempDir()
	c := groupXML(t, dir, 1, 3, false)
	if err := os.WriteFile(c.GroupStore, []byte("this is no store at all, but long enough to be looked at"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := <-serveOne(c).done; err == nil {
		t.Error("it runs on a file that is no store")
	}
}

// What it costs that a drain is agreed on: from its order to its confirmation, by one coordinator alone and by one of three
// that share the fleet, all on this machine and on its disk.
func BenchmarkDrain(b *testing.B) {
	for _, count := range []int{0, 3} {
		b.Run(fmt.Sprint(count, "-in-the-group"), func(b *testing.B) {
			t := &testing.T{}
			dir := b.TempDir()
			var all []*served
			for n := 1; n <= max(count, 1); n++ {
				c := groupXML(t, dir, n, max(count, 1), false)
				if count == 0 {
					c.Group = nil
				}
				all = append(all, serveOne(c))
			}
			time.Sleep(2 * time.Second)
			at := all[0].c.SASP
			c, err := net.Dial("tcp", at.String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			buf := make([]byte, 4096)
			say := func(m *sasp.Message) {
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
			say(&sasp.Message{Kind: sasp.Registration, Groups: groups, Rows: []sasp.Row{{Address: sasp.AddressOf(at)}}})
			flags := uint8(0)
			for b.Loop() {
				flags ^= sasp.Quiesce
				say(&sasp.Message{Kind: sasp.SetMember, Groups: groups, Rows: []sasp.Row{{Address: sasp.AddressOf(at), Flags: flags}}})
			}
			for _, s := range all {
				s.stop <- os.Interrupt
				if err := <-s.done; err != nil {
					b.Error(err)
				}
			}
		})
	}
}
