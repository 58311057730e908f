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
	for _, ok := range []string{"a", "7", "north-1", strings.Repeat("x", MaxNameLength)} {
		if n, err := ParseName(ok); err != nil || string(n) != ok {
			t.Errorf("%q: %v", ok, err)
		}
	}
	// Case, length, Unicode forms (composed, decomposed, full width, a letter of another script that looks alike), and what a path or
	// a UID would take apart.
	for _, wrong := range []string{"", "A", "north ", "-a", "a-", "a/b", "a.b", "ä", "a\u0308", "ａ", "а", "a\x00", "%61", strings.Repeat("x", MaxNameLength+1)} {
		if n, err := ParseName(wrong); !errors.Is(err, ErrInvalidName) || n != "" {
			t.Errorf("%q is taken for %q", wrong, n)
		}
	}
	for uid, want := range map[string]Name{"a/relay": "a", "a/b/c": "a", "A/relay": "", "a/": "", "a": "", "/relay": "", "a /x": ""} {
		if n, local, ok := SplitUID(uid); n != want && ok || ok != (want != "") || ok && n.UID(local) != uid {
			t.Errorf("%q belongs to %q, %v", uid, n, ok)
		}
	}
}

func need(v float64) Requirements { return Requirements{v, v, v, v} }

func command(k CommandKind, n Name, at float64) Command {
	return Command{Kind: k, Name: n, Time: at, Settings: []byte("x"), Weight: 1, Requirements: need(1)}
}

func TestDirectory(t *testing.T) {
	d := &Directory{Capacity: Capacity{Requirements: need(3), WorkOvercommit: 1, MaxTenants: 10}}
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
	apply(command(Create, "B", 2), ErrInvalidCommand)
	large := command(Create, "large", 2)
	large.Requirements = need(2.5)
	if o := apply(large, ErrNoCapacity); !strings.Contains(o.Err().Error(), "memory") {
		t.Errorf("it does not say what is missing: %v", o.Err())
	}
	// Two change one tenant by what they saw: the later one is told so.
	x := command(Change, "a", 3)
	x.IfVersion, x.Settings = a.Version, []byte("first")
	b := apply(x, nil)
	x.Settings = []byte("second")
	apply(x, ErrVersionMismatch)
	if got, _ := d.Get("a"); string(got.Settings) != "first" || b.Incarnation != a.Incarnation {
		t.Errorf("%+v", got)
	}
	apply(command(Change, "none", 3), ErrUnknown)
	apply(command(Remove, "none", 3), ErrUnknown)
	r := command(Remove, "a", 5)
	r.IfVersion = a.Version
	apply(r, ErrVersionMismatch)
	r.IfVersion = b.Version
	apply(r, nil)
	apply(command(Create, "a", 5+NameQuarantine-0.1), ErrNameQuarantined)
	if again := apply(command(Create, "a", 5+NameQuarantine), nil); again.Incarnation == a.Incarnation {
		t.Error("another tenant has the former one's incarnation")
	}
	for _, c := range []Command{{Kind: 9, Name: "a", Weight: 1, Settings: []byte("x")}, {Kind: Create, Name: "c", Weight: -1, Settings: []byte("x")},
		{Kind: Create, Name: "c", Weight: 1, Requirements: need(-1), Settings: []byte("x")}, {Kind: Create, Name: "c", Weight: 1}} {
		apply(c, ErrInvalidCommand)
	}
}

// What is done by calls with keys, in any order and again and again, counts once; a snapshot, and a change that is taken back, leave a
// directory that goes on in the same way.
func TestDirectoryModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		room := Capacity{Requirements: need(6), WorkOvercommit: 1, MaxTenants: 4}
		d := &Directory{Capacity: room}
		model := map[Name]uint64{} // by the ID of the call that made or changed it
		answers := map[uint64]Outcome{}
		prints := map[uint64]uint64{}
		at := 1.0
		seen := map[Incarnation]bool{}
		for range rapid.IntRange(1, 60).Draw(r, "calls") {
			at += rapid.Float64Range(0, 6).Draw(r, "later")
			n := Name(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(r, "name"))
			c := command(CommandKind(rapid.IntRange(1, 3).Draw(r, "kind")), n, at)
			c.Requirements = need(float64(rapid.IntRange(1, 3).Draw(r, "needs")))
			c.ID, c.Fingerprint = uint64(rapid.IntRange(1, 40).Draw(r, "id")), uint64(rapid.IntRange(1, 2).Draw(r, "print"))
			before, _ := d.Snapshot()
			undo := d.Checkpoint(n)
			o := d.Apply(c)
			after, _ := d.Snapshot()
			if was, known := answers[c.ID]; known {
				if prints[c.ID] == c.Fingerprint && !reflect.DeepEqual(o, was) || prints[c.ID] != c.Fingerprint && !errors.Is(o.Err(), ErrKeyReused) {
					r.Fatalf("call %d again: %+v, it was answered with %+v", c.ID, o, was)
				}
				if string(before) != string(after) {
					r.Fatal("a call that comes again changes something")
				}
				continue
			}
			if o.Err() != nil {
				if string(before) != string(after) && len(d.Quarantined) == 0 {
					r.Fatalf("what was refused has changed something: %v", o.Err())
				}
				continue
			}
			if rapid.IntRange(0, 5).Draw(r, "undone") == 0 {
				if d.Rollback(undo); d.Version != undo.version {
					r.Fatal("not taken back")
				}
				undone, _ := d.Snapshot()
				if string(undone) != string(before) {
					r.Fatalf("what is taken back leaves\n%s\nnot\n%s", undone, before)
				}
				continue
			}
			answers[c.ID], prints[c.ID] = o, c.Fingerprint
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
				next := &Directory{Capacity: room}
				if err := next.Restore(after); err != nil {
					r.Fatal(err)
				}
				d = next
			}
			sum := 0.0
			for _, t := range d.All() {
				sum += t.Requirements.Memory
			}
			if len(d.Tenants) != len(model) || sum > room.Memory || d.Used().Memory != sum {
				r.Fatalf("%d tenants that need %v, %d in the model; %v are reckoned", len(d.Tenants), sum, len(model), d.Used().Memory)
			}
		}
	})
}

func TestRestoreOfNonsense(t *testing.T) {
	d := &Directory{Capacity: DefaultCapacity}
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
	l := DefaultRouterLimits
	l.Unidentified, l.UnidentifiedPerNetwork, l.UnidentifiedBytes, l.TotalBuffered, l.AcceptRate, l.AcceptBurst = 4, 3, 50, 100, 20, 20
	e := NewConnectionRouter(1, l, map[Frontend]IdentityParser{SASP: named})
	from := func(i byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, i, 1}) }
	if err := errors.Join(e.Set(1, "a", 1, 2, nil, true), e.Set(1, "b", 1, 9, []netip.Prefix{netip.MustParsePrefix("127.0.7.0/24")}, true),
		e.Set(1, "late", 1, 9, nil, false)); err != nil {
		t.Fatal(err)
	}
	next := Conn(0)
	open := func(now float64, at byte) Conn {
		next++
		if why := e.Opened(now, next, from(at), SASP); why != NotRejected {
			t.Fatalf("refused: %s", why)
		}
		return next
	}
	say := func(c Conn, text string, want RejectReason, of Name) RouteResult {
		t.Helper()
		r := e.Receive(1, c, []byte(text))
		if r.Reason != want || r.Tenant != of {
			t.Errorf("%q: %v for %q, wanted %v for %q", text, r.Reason, r.Tenant, want, of)
		}
		return r
	}
	c := open(1, 1)
	say(c, "a/re", NotRejected, "") // in two pieces
	if r := say(c, "lay.", NotRejected, "a"); string(r.Bytes) != "a/relay." {
		t.Errorf("its tenant is handed %q", r.Bytes)
	}
	if n, ok := e.Tenant(c); !ok || n != "a" {
		t.Error("it is not known")
	}
	say(open(1, 1), "!", MalformedIdentity, "")
	say(open(1, 1), "A/relay.", MalformedIdentity, "")
	say(open(1, 1), "none/relay.", UnknownTenant, "")
	say(open(1, 1), "late/relay.", TenantStarting, "late")
	say(open(1, 1), strings.Repeat("x", 60), MalformedIdentity, "")
	say(open(1, 1), "b/relay.", NetworkNotAllowed, "")
	say(open(1, 7), "b/relay.", NotRejected, "b")
	say(open(1, 1), "a/other.", NotRejected, "a")
	say(open(1, 1), "a/third.", TenantConnectionsFull, "")
	e.Closed(c)
	say(open(1, 1), "a/third.", NotRejected, "a")
	if known, strangers, buffered := e.Count(); known != 3 || strangers != 0 || buffered != 0 {
		t.Errorf("%d known, %d strangers, %d bytes", known, strangers, buffered)
	}
	if conns := e.Remove("a"); len(conns) != 2 {
		t.Errorf("%v were a's", conns)
	}
	say(open(1, 1), "a/relay.", UnknownTenant, "")
	// One network that only dials leaves room for another; all together have their limit, and their time.
	for range 3 {
		open(2, 1)
	}
	if e.Opened(2, 100, from(1), SASP) != TooManyUnidentified {
		t.Error("one network takes all the room")
	}
	open(2, 2)
	if e.Opened(2, 101, from(3), SASP) != TooManyUnidentified {
		t.Error("there is no limit")
	}
	if late := e.TakeExpired(2 + l.IdentifyTimeout/2); len(late) != 0 {
		t.Error("too soon", late)
	}
	if late := e.TakeExpired(2.1 + l.IdentifyTimeout); len(late) != 4 {
		t.Error("still there", late)
	}
	open(9, 1)
}

// Relays of one tenant that come in a storm are slowed; those of another are let in.
func TestEntryStorm(t *testing.T) {
	l := DefaultRouterLimits
	l.AcceptRate, l.AcceptBurst = 100, 100
	e := NewConnectionRouter(1, l, map[Frontend]IdentityParser{SASP: named})
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
			if r := e.Receive(now, next, fmt.Appendf(nil, "%s/x.", n)); r.Reason == NotRejected {
				in[n]++
			} else if r.Reason == AcceptRateExceeded && r.RetryAfter > 0 {
				slowed[n]++
			}
		}
	}
	if slowed["b"] > 0 || in["b"] < 90 || in["a"] > 1150 || slowed["a"] == 0 {
		t.Errorf("let in %v, slowed %v", in, slowed)
	}
}
