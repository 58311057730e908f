package tenancy

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestNames(t *testing.T) {
	for _, ok := range []string{"a", "7", "north-1", strings.Repeat("x", LongestName)} {
		if n, err := Check(ok); err != nil || string(n) != ok {
			t.Errorf("%q: %v", ok, err)
		}
	}
	// Case, length, Unicode forms (composed, decomposed, full width, a letter of another script that looks alike), and what a path or
	// a UID would take apart.
	for _, wrong := range []string{"", "A", "north ", "-a", "a-", "a/b", "a.b", "ä", "a\u0308", "ａ", "а", "a\x00", "%61", strings.Repeat("x", LongestName+1)} {
		if n, err := Check(wrong); !errors.Is(err, ErrName) || n != "" {
			t.Errorf("%q is taken for %q", wrong, n)
		}
	}
	for uid, want := range map[string]Name{"a/relay": "a", "a/b/c": "a", "A/relay": "", "a/": "", "a": "", "/relay": "", "a /x": ""} {
		if n, local, ok := Split(uid); n != want && ok || ok != (want != "") || ok && n.UID(local) != uid {
			t.Errorf("%q belongs to %q, %v", uid, n, ok)
		}
	}
}

func need(v float64) Needs { return Needs{v, v, v, v} }

func command(k Kind, n Name, at float64) Command {
	return Command{Kind: k, Name: n, At: at, Settings: []byte("x"), Weight: 1, Needs: need(1)}
}

func TestDirectory(t *testing.T) {
	d := &Directory{Room: Room{Needs: need(3), WorkTimes: 1, Tenants: 10}}
	apply := func(c Command, want error) Outcome {
		t.Helper()
		o := d.Apply(c)
		if !errors.Is(o.Err(), want) && (want != nil || o.Err() != nil) {
			t.Errorf("%+v: %v, wanted %v", c, o.Err(), want)
		}
		return o
	}
	a := apply(command(Create, "a", 1), nil)
	apply(command(Create, "a", 2), ErrExists)
	apply(command(Create, "B", 2), ErrCommand)
	large := command(Create, "large", 2)
	large.Needs = need(2.5)
	if o := apply(large, ErrRoom); !strings.Contains(o.Err().Error(), "memory") {
		t.Errorf("it does not say what is missing: %v", o.Err())
	}
	// Two change one tenant by what they saw: the later one is told so.
	x := command(Change, "a", 3)
	x.If, x.Settings = a.Version, []byte("first")
	b := apply(x, nil)
	x.Settings = []byte("second")
	apply(x, ErrStale)
	if got, _ := d.Get("a"); string(got.Settings) != "first" || b.Incarnation != a.Incarnation {
		t.Errorf("%+v", got)
	}
	apply(command(Change, "none", 3), ErrUnknown)
	apply(command(Remove, "none", 3), ErrUnknown)
	r := command(Remove, "a", 5)
	r.If = a.Version
	apply(r, ErrStale)
	r.If = b.Version
	apply(r, nil)
	apply(command(Create, "a", 5+RestFor-0.1), ErrRests)
	if again := apply(command(Create, "a", 5+RestFor), nil); again.Incarnation == a.Incarnation {
		t.Error("another tenant has the former one's incarnation")
	}
	for _, c := range []Command{{Kind: 9, Name: "a", Weight: 1, Settings: []byte("x")}, {Kind: Create, Name: "c", Weight: -1, Settings: []byte("x")},
		{Kind: Create, Name: "c", Weight: 1, Needs: need(-1), Settings: []byte("x")}, {Kind: Create, Name: "c", Weight: 1}} {
		apply(c, ErrCommand)
	}
}

// What is done by calls with keys, in any order and again and again, counts once; a snapshot, and a change that is taken back, leave a
// directory that goes on in the same way.
func TestDirectoryModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		room := Room{Needs: need(6), WorkTimes: 1, Tenants: 4}
		d := &Directory{Room: room}
		model := map[Name]uint64{} // by the ID of the call that made or changed it
		answers := map[uint64]Outcome{}
		prints := map[uint64]uint64{}
		at := 1.0
		seen := map[Incarnation]bool{}
		for range rapid.IntRange(1, 60).Draw(r, "calls") {
			at += rapid.Float64Range(0, 6).Draw(r, "later")
			n := Name(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(r, "name"))
			c := command(Kind(rapid.IntRange(1, 3).Draw(r, "kind")), n, at)
			c.Needs = need(float64(rapid.IntRange(1, 3).Draw(r, "needs")))
			c.ID, c.Print = uint64(rapid.IntRange(1, 40).Draw(r, "id")), uint64(rapid.IntRange(1, 2).Draw(r, "print"))
			before, _ := d.Snapshot()
			undo := d.Before(n)
			o := d.Apply(c)
			after, _ := d.Snapshot()
			if was, known := answers[c.ID]; known {
				if prints[c.ID] == c.Print && !reflect.DeepEqual(o, was) || prints[c.ID] != c.Print && !errors.Is(o.Err(), ErrKey) {
					r.Fatalf("call %d again: %+v, it was answered with %+v", c.ID, o, was)
				}
				if string(before) != string(after) {
					r.Fatal("a call that comes again changes something")
				}
				continue
			}
			if o.Err() != nil {
				if string(before) != string(after) && len(d.Resting) == 0 {
					r.Fatalf("what was refused has changed something: %v", o.Err())
				}
				continue
			}
			if rapid.IntRange(0, 5).Draw(r, "undone") == 0 {
				if d.Undo(undo); d.Version != undo.version {
					r.Fatal("not taken back")
				}
				undone, _ := d.Snapshot()
				if string(undone) != string(before) {
					r.Fatalf("what is taken back leaves\n%s\nnot\n%s", undone, before)
				}
				continue
			}
			answers[c.ID], prints[c.ID] = o, c.Print
			switch c.Kind {
			case Create:
				if seen[o.Incarnation] {
					r.Fatal("an incarnation is given twice")
				}
				seen[o.Incarnation] = true
				model[n] = c.ID
			case Change:
				model[n] = c.ID
			case Remove:
				delete(model, n)
			}
			if rapid.IntRange(0, 3).Draw(r, "restored") == 0 {
				next := &Directory{Room: room}
				if err := next.Restore(after); err != nil {
					r.Fatal(err)
				}
				d = next
			}
			sum := 0.0
			for _, t := range d.All() {
				sum += t.Needs.Memory
			}
			if len(d.Tenants) != len(model) || sum > room.Memory || d.Taken().Memory != sum {
				r.Fatalf("%d tenants that need %v, %d in the model; %v are reckoned", len(d.Tenants), sum, len(model), d.Taken().Memory)
			}
		}
	})
}

func TestRestoreOfNonsense(t *testing.T) {
	d := &Directory{Room: UsualRoom}
	d.Apply(command(Create, "a", 1))
	for _, b := range []string{"", "{", `{"tenants":{"x":null}}`, `{"tenants":{"x":{"name":"y","weight":1}}}`, `{"tenants":{"x":{"name":"x","weight":1,"incarnation":3}}}`} {
		if err := d.Restore([]byte(b)); err == nil {
			t.Errorf("%q is taken", b)
		}
	}
	if _, ok := d.Get("a"); !ok {
		t.Error("what was refused has changed something")
	}
}

func named(b []byte) (string, bool, error) {
	switch s := string(b); {
	case strings.HasPrefix(s, "!"):
		return "", false, errors.New("nonsense")
	case strings.HasSuffix(s, "."):
		return strings.TrimSuffix(s, "."), false, nil
	}
	return "", true, nil
}

func TestEntry(t *testing.T) {
	l := UsualEntryLimits
	l.Strangers, l.OfNet, l.Bytes, l.Buffered, l.Comes, l.Burst = 4, 3, 50, 100, 20, 20
	e := NewEntry(1, l, map[Front]Speaker{SASP: named})
	from := func(i byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, i, 1}) }
	if err := errors.Join(e.Set(1, "a", 1, 2, nil, true), e.Set(1, "b", 1, 9, []netip.Prefix{netip.MustParsePrefix("127.0.7.0/24")}, true),
		e.Set(1, "late", 1, 9, nil, false)); err != nil {
		t.Fatal(err)
	}
	next := Conn(0)
	open := func(now float64, at byte) Conn {
		next++
		if why := e.Opened(now, next, from(at), SASP); why != NoReason {
			t.Fatalf("refused: %s", why)
		}
		return next
	}
	say := func(c Conn, text string, want Reason, of Name) Comes {
		t.Helper()
		r := e.Receive(1, c, []byte(text))
		if r.Why != want || r.Tenant != of {
			t.Errorf("%q: %v for %q, wanted %v for %q", text, r.Why, r.Tenant, want, of)
		}
		return r
	}
	c := open(1, 1)
	say(c, "a/re", NoReason, "") // in two pieces
	if r := say(c, "lay.", NoReason, "a"); string(r.Bytes) != "a/relay." {
		t.Errorf("its tenant is handed %q", r.Bytes)
	}
	if n, ok := e.Of(c); !ok || n != "a" {
		t.Error("it is not known")
	}
	say(open(1, 1), "!", Senseless, "")
	say(open(1, 1), "A/relay.", Senseless, "")
	say(open(1, 1), "none/relay.", Nobody, "")
	say(open(1, 1), "late/relay.", Starting, "late")
	say(open(1, 1), strings.Repeat("x", 60), Senseless, "")
	say(open(1, 1), "b/relay.", Outside, "")
	say(open(1, 7), "b/relay.", NoReason, "b")
	say(open(1, 1), "a/other.", NoReason, "a")
	say(open(1, 1), "a/third.", Full, "")
	e.Closed(c)
	say(open(1, 1), "a/third.", NoReason, "a")
	if known, strangers, buffered := e.Count(); known != 3 || strangers != 0 || buffered != 0 {
		t.Errorf("%d known, %d strangers, %d bytes", known, strangers, buffered)
	}
	if conns := e.Drop("a"); len(conns) != 2 {
		t.Errorf("%v were a's", conns)
	}
	say(open(1, 1), "a/relay.", Nobody, "")
	// One network that only dials leaves room for another; all together have their limit, and their time.
	for range 3 {
		open(2, 1)
	}
	if e.Opened(2, 100, from(1), SASP) != Crowded {
		t.Error("one network takes all the room")
	}
	open(2, 2)
	if e.Opened(2, 101, from(3), SASP) != Crowded {
		t.Error("there is no limit")
	}
	if late := e.Late(2 + l.Silent/2); len(late) != 0 {
		t.Error("too soon", late)
	}
	if late := e.Late(2.1 + l.Silent); len(late) != 4 {
		t.Error("still there", late)
	}
	open(9, 1)
}

// Relays of one tenant that come in a storm are slowed; those of another are let in.
func TestEntryStorm(t *testing.T) {
	l := UsualEntryLimits
	l.Comes, l.Burst = 100, 100
	e := NewEntry(1, l, map[Front]Speaker{SASP: named})
	for _, n := range []Name{"a", "b"} {
		if err := e.Set(1, n, 1, 1<<20, nil, true); err != nil {
			t.Fatal(err)
		}
	}
	from := netip.MustParseAddr("127.0.0.1")
	next, in, slowed := Conn(0), map[Name]int{}, map[Name]int{}
	for now := 1.0; now < 11; now += 0.01 {
		for k := range 21 {
			n := Name("a")
			if k == 20 && int(now*100)%10 == 0 {
				n = "b"
			} else if k == 20 {
				continue
			}
			next++
			e.Opened(now, next, from, SASP)
			if r := e.Receive(now, next, fmt.Appendf(nil, "%s/x.", n)); r.Why == NoReason {
				in[n]++
			} else if r.Why == TooFast && r.After > 0 {
				slowed[n]++
			}
		}
	}
	if slowed["b"] > 0 || in["b"] < 90 || in["a"] > 1150 || slowed["a"] == 0 {
		t.Errorf("let in %v, slowed %v", in, slowed)
	}
}
