package coordinator_test

import (
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
	"snowquay/internal/store"
	"snowquay/internal/wire/sasp"
)

// site is a host in virtual time, whose process can end and start again.
type site struct {
	t     *testing.T
	set   *settings.Host
	store coordinator.HostStore
	net   *simnet.Net
	place *simnet.Host
	host  *coordinator.Host
}

func newSite(t *testing.T, store coordinator.HostStore) *site {
	t.Helper()
	set, err := settings.ParseHost("host.xml", []byte(scenario.HostSettings))
	if err != nil {
		t.Fatal(err)
	}
	set.ParseTenant = func(x tenancy.Tenant) (coordinator.TenantConfig, error) {
		return settings.ParseTenant(x.Name, x.Settings, set)
	}
	s := &site{t: t, set: set, store: store, net: simnet.New(1, 1000)}
	s.place = s.net.Add(set.SASP.Addr(), 0, false)
	s.start()
	return s
}

func (s *site) start() {
	s.t.Helper()
	var err error
	if s.host, err = coordinator.NewHost(s.net.Now(), s.set.HostConfig, s.store); err != nil {
		s.t.Fatal(err)
	}
	s.place.Start(s.host)
}

func (s *site) run(seconds float64) { s.net.Run(s.net.Now() + seconds) }

func (s *site) order(kind tenancy.CommandKind, n tenancy.Name, text []byte, id uint64) (out tenancy.Outcome, err error) {
	c := tenancy.Command{Kind: kind, Name: n, Settings: text, ID: id, Time: s.net.Now()}
	if text != nil {
		m, err := settings.ParseTenant(n, text, s.set)
		if err != nil {
			s.t.Fatal(err)
		}
		c.Weight, c.Requirements = m.Weight, m.Requirements
	}
	s.host.ChangeTenant(s.net.Now(), c, func(o tenancy.Outcome, e error) { out, err = o, errors.Join(e, o.Err()) })
	return out, err
}

// talker is a relay that says what it is given and keeps the codes and rows that it is answered with.
type talker struct {
	to     netip.AddrPort
	say    []*sasp.Message
	codes  []sasp.Code
	rows   []sasp.Row
	closed int
	io     env.IO
	buf    []byte
}

func (k *talker) Start(_ float64, io env.IO) {
	k.io = io
	io.Dial(k.to)
}
func (k *talker) Connected(_ float64, c env.Conn, ok bool) {
	for _, m := range k.say {
		if ok {
			k.io.Send(c, sasp.Append(nil, m))
		}
	}
}
func (k *talker) Receive(_ float64, _ env.Conn, b []byte) {
	k.buf = append(k.buf, b...)
	for {
		n, err := sasp.Frame(k.buf, sasp.MostMessage)
		if n == 0 || err != nil {
			return
		}
		var m sasp.Message
		if sasp.Decode(k.buf[:n], &m) == nil && m.Kind != sasp.SendWeights {
			k.codes = append(k.codes, m.Code)
		} else {
			k.rows = append(k.rows, m.Rows...)
		}
		k.buf = k.buf[n:]
	}
}
func (k *talker) Closed(float64, env.Conn)                     { k.closed++ }
func (k *talker) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (k *talker) Delivered(float64, env.Conn, uint64)          {}
func (k *talker) Datagram(float64, []byte)                     {}
func (k *talker) TimerFired(float64, int)                      {}

func setBalancer(uid string) *sasp.Message {
	return &sasp.Message{Kind: sasp.SetBalancer, UID: []byte(uid), Flags: sasp.Push | sasp.Trust}
}

func register(uid string) *sasp.Message {
	return &sasp.Message{Kind: sasp.Registration, LB: 1, Groups: []sasp.Group{{UID: []byte(uid), Name: []byte("search")}}}
}

// from is a talker at an address of a tenant of the day's settings.
func (s *site) from(tenant int, say ...*sasp.Message) *talker {
	k := &talker{to: s.set.SASP, say: say}
	s.net.Add(netip.AddrFrom4([4]byte{127, 16, byte(tenant*4 + 1), byte(200 + len(say))}), 0, true).Start(k)
	return k
}

func texts(n int) (all [][]byte) {
	d := scenario.UsualHostedDay()
	for t := range n {
		all = append(all, []byte(strings.ReplaceAll(string(d.TenantSettings(t)), `pod="`, `standing="true" pod="`)))
	}
	return all
}

// The process is killed between a confirmation and what follows from it, and between what is durable and its confirmation: the next
// one publishes what was confirmed, and answers the repeated call in the same way.
func TestHostKilledBetween(t *testing.T) {
	for _, file := range []bool{false, true} {
		var disk coordinator.HostStore = &store.MemoryTenantStore{}
		open := func() {}
		if file {
			path := filepath.Join(t.TempDir(), "tenants.db")
			open = func() {
				f, err := store.OpenTenantStore(path)
				if err != nil {
					t.Fatal(err)
				}
				disk = f
			}
			open()
		}
		s := newSite(t, disk)
		text := texts(2)
		first, err := s.order(tenancy.Create, "t000", text[0], 7)
		if err != nil {
			t.Fatal(err)
		}
		restart := func() {
			s.place.Kill()
			if f, ok := disk.(*store.TenantStore); ok {
				if err := f.Close(); err != nil {
					t.Fatal(err)
				}
				open()
				s.store = disk
			}
			s.start()
		}
		restart() // nothing that follows was done
		again, err := s.order(tenancy.Create, "t000", text[0], 7)
		if err != nil || again != first {
			t.Errorf("again %+v %v, first %+v", again, err, first)
		}
		s.run(0.5)
		k := s.from(0, setBalancer("t000/relay-0"), register("t000/relay-0"))
		if s.run(3); len(k.codes) != 2 || k.codes[1] != sasp.OK || len(k.rows) == 0 {
			t.Errorf("its relay is not told its table: %v, %d rows", k.codes, len(k.rows))
		}
		// A drain that is confirmed and not yet told.
		told := false
		s.host.Drain(s.net.Now(), "t000", balancer.Server("127.16.0.1:18080"), true, func(ok bool) { told = ok })
		if restart(); !told {
			t.Fatal("not confirmed")
		}
		k = s.from(0, setBalancer("t000/relay-0"), register("t000/relay-0"), setBalancer("t000/relay-0"))
		s.run(4)
		weight := uint16(0)
		for _, r := range k.rows {
			if r.AddrPort().String() == "127.16.0.1:18080" {
				weight = r.Weight
			}
		}
		if len(k.rows) == 0 || weight != 0 {
			t.Errorf("the drain is forgotten: %d rows, weight %d", len(k.rows), weight)
		}
		if f, ok := disk.(*store.TenantStore); ok {
			if err := f.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// A change that can't be made durable has not happened, whoever asks.
func TestHostDiskFails(t *testing.T) {
	store := &store.MemoryTenantStore{}
	s := newSite(t, store)
	text := texts(2)
	if _, err := s.order(tenancy.Create, "t000", text[0], 1); err != nil {
		t.Fatal(err)
	}
	store.SaveError = errors.New("the disk is full")
	if _, err := s.order(tenancy.Create, "t001", text[1], 2); !errors.Is(err, coordinator.ErrNotPersisted) {
		t.Error(err)
	}
	if _, err := s.order(tenancy.Remove, "t000", nil, 3); !errors.Is(err, coordinator.ErrNotPersisted) {
		t.Error(err)
	}
	if _, ok := s.host.Tenant("t001"); ok || len(s.host.Tenants()) != 1 {
		t.Error("it has happened all the same")
	}
	store.SaveError = nil
	if _, err := s.order(tenancy.Create, "t001", text[1], 2); err != nil {
		t.Error(err)
	}
}

// A tenant that is removed and made again is another one: connections of the former are closed, drains that it was told are not the
// new one's, and what its relays hold is replaced.
func TestHostMadeAgain(t *testing.T) {
	s := newSite(t, &store.MemoryTenantStore{})
	text := texts(1)[0]
	if _, err := s.order(tenancy.Create, "t000", text, 0); err != nil {
		t.Fatal(err)
	}
	s.run(0.5)
	k := s.from(0, setBalancer("t000/relay-0"), register("t000/relay-0"))
	s.run(2)
	s.host.Drain(s.net.Now(), "t000", "127.16.0.1:18080", true, func(bool) {})
	s.run(1)
	if _, err := s.order(tenancy.Remove, "t000", nil, 0); err != nil {
		t.Fatal(err)
	}
	if s.run(1); k.closed != 1 {
		t.Error("its relay's connection is still open")
	}
	if _, err := s.order(tenancy.Create, "t000", text, 0); !errors.Is(err, tenancy.ErrNameQuarantined) {
		t.Error(err)
	}
	s.run(tenancy.NameQuarantine)
	if o, err := s.order(tenancy.Create, "t000", text, 0); err != nil || o.Incarnation != 2 {
		t.Fatal(o, err)
	}
	s.run(0.5)
	k = s.from(0, setBalancer("t000/relay-0"), register("t000/relay-0"), setBalancer("t000/relay-0"))
	s.run(3)
	x, _ := s.host.Tenant("t000")
	if d, _ := x.Program.Fleet.DrainProgress("127.16.0.1:18080"); d.Phase != balancer.Ready || len(k.rows) < 4 {
		t.Errorf("%+v, %d rows", d, len(k.rows))
	}
}

// Servers and relays of a tenant come and go while it runs; what its decision module is handed at the start makes it start anew. A
// file that can't be read changes nothing.
func TestHostRevises(t *testing.T) {
	s := newSite(t, &store.MemoryTenantStore{})
	text := string(texts(1)[0])
	if _, err := s.order(tenancy.Create, "t000", []byte(text), 0); err != nil {
		t.Fatal(err)
	}
	s.run(0.5)
	k := s.from(0, setBalancer("t000/relay-0"), register("t000/relay-0"))
	s.run(2)
	before, _ := s.host.Tenant("t000")
	program := before.Program
	change := func(old, next string) {
		t.Helper()
		if !strings.Contains(text, old) {
			t.Fatalf("%q is not there", old)
		}
		text = strings.Replace(text, old, next, 1)
		if _, err := s.order(tenancy.Change, "t000", []byte(text), 0); err != nil {
			t.Fatal(err)
		}
		s.run(6)
	}
	k.rows = nil
	change(`    <server address="127.16.0.1:18080" zone="north" standing="true" pod="0"/>`, `    <server address="127.16.0.99:18080" zone="north" standing="true" pod="0"/>`)
	got := map[string]uint16{}
	for _, r := range k.rows {
		got[r.AddrPort().String()] = r.Weight
	}
	if w, told := got["127.16.0.1:18080"]; !told || w != 0 || got["127.16.0.99:18080"] == 0 || k.closed != 0 {
		t.Errorf("told %v, closed %d", got, k.closed)
	}
	if after, _ := s.host.Tenant("t000"); after.Program != program || s.host.Stats.Reconfigured != 1 {
		t.Error("it has started anew")
	}
	// A server that is not listed any more can't come back by registering.
	member := &sasp.Message{Kind: sasp.Registration, Groups: []sasp.Group{{UID: []byte("t000/fleet"), Name: []byte("search"), To: 1}},
		Rows: []sasp.Row{{Address: sasp.AddressOf(netip.MustParseAddrPort("127.16.0.1:18080"))}}}
	m := s.from(0, member, member, member, member)
	if s.run(1); len(m.codes) == 0 || m.codes[0] != sasp.NotAccepted {
		t.Errorf("it has: %v", m.codes)
	}
	change(`<relay uid="relay-0" zone="north"`, `<relay uid="relay-7" zone="north"`)
	if k.closed != 1 {
		t.Error("a relay that is not listed any more is still connected")
	}
	change(`drain-within="3"`, `drain-within="4"`)
	if after, _ := s.host.Tenant("t000"); after.Program == program || after.Program == nil || s.host.Stats.Restarts != 1 {
		t.Error("it has not started anew")
	}
}

// Many tenants that start at once do so in the time that looks at those that run leave, those first that somebody asks for.
func TestHostStartsMany(t *testing.T) {
	store := &store.MemoryTenantStore{}
	s := newSite(t, store)
	n := 200
	for i, text := range texts(n)[:n] {
		if i >= 64 {
			break
		}
		if _, err := s.order(tenancy.Create, tenancy.Name(fmt.Sprintf("t%03d", i)), text, 0); err != nil {
			t.Fatal(err)
		}
	}
	s.place.Kill()
	s.start()
	k := s.from(63, setBalancer("t063/relay-0"), register("t063/relay-0"))
	s.run(0.02)
	if left := s.host.Starting(); left == 0 || left >= 64 {
		t.Errorf("%d are still to be started after 20 ms", left)
	}
	s.run(0.02) // it was sent away, and its tenant comes next
	if x, _ := s.host.Tenant("t063"); x.Program == nil {
		t.Error("who is asked for does not come first")
	}
	if s.run(1); s.host.Starting() != 0 || k.closed != 1 {
		t.Errorf("%d are still to be started, closed %d", s.host.Starting(), k.closed)
	}
}
