package coordinator_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env/simnet"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
	"snowquay/internal/store"
)

// three hosts that share their tenants, in virtual time.
type three struct {
	t     *testing.T
	net   *simnet.Net
	set   *settings.Host
	place [3]*simnet.Host
	host  [3]*coordinator.Host
	disk  [3]consensus.MemoryStorage
	lives uint64
}

func newThree(t *testing.T, tenants int) *three {
	set, err := settings.ParseHost("host.xml", []byte(scenario.HostSettings))
	if err != nil {
		t.Fatal(err)
	}
	set.Capacity.MaxTenants = tenants
	set.ParseTenant = func(x tenancy.Tenant) (coordinator.TenantConfig, error) {
		return settings.ParseTenant(x.Name, x.Settings, set)
	}
	h := &three{t: t, net: simnet.New(1, 1000), set: set}
	for i := range h.place {
		h.place[i] = h.net.Add(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}), 0, false)
		h.start(i)
	}
	h.net.Run(1005)
	return h
}

func (h *three) start(i int) {
	h.lives++
	setup := h.set.HostConfig
	h.disk[i].OwnDataDirID = uint64(i + 1)
	setup.Storage, setup.Incarnation = &h.disk[i], h.lives*10+uint64(i)
	setup.Group = &coordinator.GroupConfig{Self: membership.MemberID(i + 1), Weight: 1, Members: map[membership.MemberID]netip.AddrPort{}, Key: []byte("a key for three hosts"),
		Consensus: consensus.DefaultConfig, Lease: membership.DefaultLeaseConfig}
	for k := range h.place {
		setup.Group.Members[membership.MemberID(k+1)] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + k)}), 13900)
	}
	x, err := coordinator.NewHost(h.net.Now(), setup, &store.MemoryTenantStore{})
	if err != nil {
		h.t.Fatal(err)
	}
	h.host[i] = x
	h.place[i].Start(x)
}

// order gives a host a command; answer is set when it is answered.
func (h *three) order(i int, c tenancy.Command) (answer *error, out *tenancy.Outcome) {
	answer, out = new(error), new(tenancy.Outcome)
	*answer = errWaits
	c.Time = h.net.Now()
	if c.Settings != nil {
		m, err := settings.ParseTenant(c.Name, c.Settings, h.set)
		if err != nil {
			h.t.Fatal(err)
		}
		c.Weight, c.Requirements = m.Weight, m.Requirements
	}
	h.host[i].ChangeTenant(h.net.Now(), c, func(o tenancy.Outcome, err error) { *answer, *out = errors.Join(err, o.Err()), o })
	return answer, out
}

var errWaits = errors.New("not answered yet")

func (h *three) leader() int { return int(h.host[0].Member().Group.Node.Leader()) - 1 }

// A tenant is changed at one host and known to all; a call that is repeated at another host has the same answer; what the host that
// took it did not live to answer has happened once or not at all.
func TestHostsAgree(t *testing.T) {
	h := newThree(t, 100)
	text := texts(1)[0]
	first, out := h.order(0, tenancy.Command{Kind: tenancy.Create, Name: "t000", Settings: text, ID: 5})
	if h.net.Run(h.net.Now() + 2); *first != nil {
		t.Fatal(*first)
	}
	for i, x := range h.host {
		if y, ok := x.Tenant("t000"); !ok || y.Program == nil || y.Incarnation != out.Incarnation {
			t.Errorf("host %d does not run it", i)
		}
	}
	again, same := h.order(2, tenancy.Command{Kind: tenancy.Create, Name: "t000", Settings: text, ID: 5})
	if h.net.Run(h.net.Now() + 2); *again != nil || *same != *out {
		t.Errorf("again at another host: %v %+v, first %+v", *again, *same, *out)
	}
	for round := range 20 { // the leader dies at another moment each time, with a change under way
		l := h.leader()
		n := tenancy.Name(fmt.Sprintf("r%03d", round))
		c := tenancy.Command{Kind: tenancy.Create, Name: n, Settings: texts(round + 2)[round+1], ID: uint64(100 + round)}
		h.order(l, c)
		h.net.Run(h.net.Now() + 0.0005*float64(round))
		h.place[l].Kill()
		other := (l + 1) % 3
		h.net.Run(h.net.Now() + 8)
		ended, _ := h.order(other, c)
		h.net.Run(h.net.Now() + 8)
		h.start(l)
		h.net.Run(h.net.Now() + 8)
		if *ended != nil {
			t.Errorf("round %d: %v", round, *ended)
		}
		lives := map[tenancy.Incarnation]bool{}
		for i, x := range h.host {
			y, ok := x.Tenant(n)
			if !ok || y.Program == nil {
				t.Fatalf("round %d: host %d does not run %s", round, i, n)
			}
			lives[y.Incarnation] = true
		}
		if len(lives) != 1 {
			t.Errorf("round %d: incarnations %v", round, lives)
		}
	}
}

// Tenants that together would pass what hosts have room for are ordered at all hosts at once, while one of them dies: no more are made
// than there is room for, and all hosts have the same.
func TestHostsGrowPastTheirRoom(t *testing.T) {
	h := newThree(t, 7)
	all := texts(12)
	var answers []*error
	for k, text := range all {
		a, _ := h.order(k%3, tenancy.Command{Kind: tenancy.Create, Name: tenancy.Name(fmt.Sprintf("t%03d", k)), Settings: text, ID: uint64(k + 1)})
		answers = append(answers, a)
		if k == 6 {
			h.net.Run(h.net.Now() + 0.002)
			h.place[(h.leader()+1)%3].Kill()
		}
	}
	h.net.Run(h.net.Now() + 20)
	made := 0
	for _, a := range answers {
		if *a == nil {
			made++
		} else if !errors.Is(*a, tenancy.ErrNoCapacity) && !errors.Is(*a, errWaits) && !errors.Is(*a, coordinator.ErrNotAgreed) {
			t.Error(*a)
		}
	}
	names := map[string]int{}
	for i, x := range h.host {
		if h.place[i].Up() {
			text := ""
			for _, y := range x.Tenants() {
				text += string(y.Name) + " "
			}
			names[text]++
			if len(x.Tenants()) != 7 {
				t.Errorf("host %d has %d tenants", i, len(x.Tenants()))
			}
		}
	}
	if len(names) != 1 || made > 7 {
		t.Errorf("%d were confirmed; %v", made, names)
	}
}
