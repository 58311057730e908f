package consensus

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"

	bolt "go.etcd.io/bbolt"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
)

// town is a group in virtual time: each coordinator has a clock of its own rate, may be paused, killed and cut off.
type town struct {
	t        testing.TB
	now      float64
	chance   *rand.Rand
	members  []ID
	peers    map[ID]*peer
	mail     []letter
	lossy    float64
	cut      map[[2]ID]bool // one way
	careless bool
	double   string // two that led one proxy at a time
	unled    float64
	longest  float64
	terms    membership.LeaseConfig
}

type letter struct {
	at       float64
	from, to ID
	b        []byte
}

type peer struct {
	town          *town
	id            ID
	rate          float64
	disk          *MemoryStorage
	group         *Group
	paused        float64
	first         []ID // the group's first members, as its settings have them
	kept, refused []membership.Ticket
}

func (p *peer) OrdersCompleted(_ float64, kept, refused []membership.Ticket) {
	p.kept, p.refused = append(p.kept, kept...), append(p.refused, refused...)
}
func (p *peer) RecordsCommitted(float64, []registry.Record) {}
func (p *peer) seat() membership.Registration {
	return membership.Registration{Peer: p.name(), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(p.id)}), 7000)}
}
func (p *peer) clock() float64                              { return 1000 + p.town.now*p.rate }
func (p *peer) name() membership.Peer                       { return membership.Peer(fmt.Sprint("c", p.id)) }
func (p *peer) OwnershipChanged(float64, *membership.State) {}
func (p *peer) DrainCommitted(float64, membership.Command)  {}
func (p *peer) Send(to ID, b []byte) {
	t := p.town
	if t.cut[[2]ID{p.id, to}] || t.chance.Float64() < t.lossy {
		return
	}
	t.mail = append(t.mail, letter{t.now + 0.001 + 0.02*t.chance.Float64(), p.id, to, b})
}

func (p *peer) start() {
	g, err := NewGroup(p.clock(), GroupConfig{ID: membership.MemberID(p.id), Registration: p.seat(), Weight: 1, Members: p.first,
		Seed: p.town.chance.Uint64(), Consensus: Config{HeartbeatInterval: 0.1, ElectionTimeout: 0.5, SnapshotEntries: 200, TrailingEntries: 20, MaxMessageBytes: 64 << 10},
		Lease: p.town.terms}, p.disk, p)
	if err != nil {
		p.town.t.Fatal(err)
	}
	p.kept, p.refused = nil, nil // their tickets are of this process
	if p.group = g; p.town.careless {
		g.Lease.DisablePauseGuard()
	}
}

func found(t testing.TB, n int, seed uint64) *town {
	w := &town{t: t, chance: rand.New(rand.NewPCG(seed, 9)), peers: map[ID]*peer{}, cut: map[[2]ID]bool{}, lossy: 0.01, terms: membership.DefaultLeaseConfig}
	for i := range n {
		w.members = append(w.members, ID(i+1))
	}
	for _, id := range w.members { // clocks apart by up to 1.6%
		w.peers[id] = &peer{town: w, id: id, rate: 0.992 + 0.016*w.chance.Float64(), disk: &MemoryStorage{}, first: w.members}
	}
	return w
}

var uids = func() (all []string) {
	for i := range 24 {
		all = append(all, fmt.Sprint("relay-", i))
	}
	return all
}()

const step = 0.01

func (w *town) run(seconds float64) {
	for end := w.now + seconds; w.now < end; w.now += step {
		slices.SortStableFunc(w.mail, func(a, b letter) int {
			if a.at < b.at {
				return -1
			} else if a.at > b.at {
				return 1
			}
			return 0
		})
		mail, later := w.mail, []letter(nil)
		w.mail = nil
		for _, l := range mail {
			p := w.peers[l.to]
			switch {
			case l.at > w.now || p != nil && p.paused > w.now:
				later = append(later, l)
			case p != nil && p.group != nil && p.group.Removed(membership.MemberID(l.from)): // as the transport does
				if q := w.peers[l.from]; q.group != nil {
					q.group = nil
				}
			case p != nil && p.group != nil && !w.cut[[2]ID{l.from, l.to}]:
				if err := p.group.Step(p.clock(), l.b); err != nil && errors.Is(err, ErrStorage) {
					p.group = nil
				}
			}
		}
		w.mail = append(later, w.mail...)
		for _, id := range w.members {
			if p := w.peers[id]; p.group != nil && p.paused <= w.now {
				if err := p.group.Tick(p.clock()); err != nil {
					p.group = nil // it must order nothing more
				}
			}
		}
		w.look()
	}
}

// look judges: no proxy has two who would order it. A paused process orders nothing while it is paused, and looks at its
// lease first when it goes on; so it is judged at the moment that it could order.
func (w *town) look() {
	led := 0
	for _, uid := range uids {
		var who []ID
		for _, id := range w.members {
			p := w.peers[id]
			if p.group != nil && p.paused <= w.now && p.group.Lease.Owns(p.clock(), p.group.State, uid) {
				who = append(who, id)
			}
		}
		led += min(len(who), 1)
		if len(who) > 1 && w.double == "" {
			w.double = fmt.Sprintf("at %.2f %v lead %s", w.now, who, uid)
			if testing.Verbose() {
				for _, id := range w.members {
					if p := w.peers[id]; p.group != nil {
						b, _ := p.group.State.Snapshot()
						fmt.Printf("%d clock %.2f paused %.2f lease %+v applied %d %s\n", id, p.clock(), p.paused, *p.group.Lease, p.group.Node.AppliedIndex(), b)
					}
				}
			}
		}
	}
	if w.unled += step; led == len(uids) {
		w.unled = 0
	}
	w.longest = max(w.longest, w.unled)
}

// trouble does something bad to the group; whoever is hurt is well again later.
func (w *town) trouble() {
	p := w.peers[w.members[w.chance.IntN(len(w.members))]]
	switch w.chance.IntN(6) {
	case 0:
		p.group = nil // killed
	case 1:
		p.paused = w.now + 10*w.chance.Float64()
	case 2: // cut off on one side only
		for _, id := range w.members {
			w.cut[[2]ID{p.id, id}] = true
		}
	case 3:
		for _, id := range w.members {
			w.cut[[2]ID{p.id, id}], w.cut[[2]ID{id, p.id}] = true, true
		}
	case 4: // flapping
		if p.group == nil {
			p.start()
		}
	default:
		clear(w.cut)
		w.lossy = 0.3 * w.chance.Float64()
	}
	for _, id := range w.members {
		if q := w.peers[id]; q.group == nil && w.chance.IntN(3) == 0 {
			q.start()
		}
	}
}

func (w *town) heal() {
	clear(w.cut)
	w.lossy = 0.01
	for _, id := range w.members {
		p := w.peers[id]
		if p.paused = 0; p.group == nil {
			p.start()
		}
	}
}

var seeds = flag.Uint64("seeds", 30, "days of coordinators that share a fleet")

func day(t testing.TB, seed uint64, careless bool) *town {
	w := found(t, 3+2*int(seed%2), seed)
	w.careless = careless
	w.heal()
	w.run(6)
	for range 25 {
		w.trouble()
		w.run(0.2 + 3*w.chance.Float64())
	}
	w.heal()
	w.run(12)
	return w
}

// Whatever dies, stops, is cut off or comes back: never two that would order one proxy, all agree, and all proxies are led
// in the end.
func TestNeverTwoThatLead(t *testing.T) {
	for seed := range *seeds {
		w := day(t, seed, false)
		if w.double != "" {
			t.Errorf("seed %d: %s", seed, w.double)
		}
		if w.unled > 0 {
			t.Errorf("seed %d: some proxies are led by nobody after 12 s of calm", seed)
		}
		first, _ := w.peers[1].group.State.Snapshot()
		for _, id := range w.members {
			g := w.peers[id].group
			if other, _ := g.State.Snapshot(); g.Node.AppliedIndex() == w.peers[1].group.Node.AppliedIndex() && string(other) != string(first) {
				t.Errorf("seed %d: %d knows another state:\n%s\n%s", seed, id, other, first)
			}
		}
	}
}

// The guard left out: a lease that ignores that time has passed.
func TestACarelessLeaseIsCaught(t *testing.T) {
	caught := 0
	for seed := range uint64(10) {
		caught += min(len(day(t, seed, true).double), 1)
	}
	if caught == 0 {
		t.Error("a lease that ignores pauses was not caught in 10 days")
	}
}

func TestTakeover(t *testing.T) {
	w := found(t, 3, 1)
	w.heal()
	w.run(6)
	if w.unled > 0 {
		t.Fatal("proxies are led by nobody at the start")
	}
	drain := []registry.Record{{ServerConfig: registry.ServerConfig{Server: "a"}, Phase: balancer.Draining, NotifiedAt: 77, DrainOrdered: true}}
	w.peers[2].group.StoreRecords(w.peers[2].clock(), drain)
	w.run(0.5)
	lead := w.peers[1].group.Node.Leader()
	w.peers[lead].group = nil
	w.longest = 0
	w.run(8)
	if w.longest > 5 || w.longest < 2 || w.unled > 0 {
		t.Errorf("some proxies were led by nobody for %.1f s", w.longest)
	}
	for _, id := range w.members {
		if g := w.peers[id].group; g != nil && (!g.RecordsStored(drain) || g.State.ServerRecords()[0].NotifiedAt != 77) {
			t.Errorf("%d has lost the drain: %+v", id, g.State.ServerRecords())
		}
	}
	other := w.members[int(lead)%3]
	w.longest = 0
	if err := w.peers[other].group.ReleaseLease(w.peers[other].clock()); err != nil { // one more goes, by its own will
		t.Fatal(err)
	}
	w.run(1)
	w.peers[other].group = nil
	if w.run(3); w.longest > 0.5 {
		t.Errorf("a takeover from one that retired took %.2f s", w.longest)
	}
	if w.run(5); w.unled == 0 {
		t.Error("one of three goes on leading: without a majority nobody may")
	}
}

func TestADiskThatFailsEndsTheNode(t *testing.T) {
	w := found(t, 3, 2)
	w.heal()
	w.run(4)
	w.peers[1].disk.SaveError = errors.New("disk full")
	w.run(6)
	if w.peers[1].group != nil {
		t.Error("it goes on though it can't save")
	}
	w.peers[1].disk.SaveError = nil
	w.heal()
	w.run(8)
	if w.unled > 0 || w.double != "" {
		t.Errorf("after its return: unled for %.1f s, %s", w.unled, w.double)
	}
}

func TestTheFileKeepsWhatWasSaved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log.db")
	w := found(t, 1, 3)
	p := w.peers[1]
	open := func(id ID) *FileStorage {
		f, err := OpenFileStorage(path, id)
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	run := func(f *FileStorage) *Group {
		g, err := NewGroup(p.clock(), GroupConfig{ID: 1, Registration: p.seat(), Weight: 1, Members: []ID{1}, Seed: 5, Lease: membership.DefaultLeaseConfig,
			Consensus: Config{HeartbeatInterval: 0.1, ElectionTimeout: 0.5, SnapshotEntries: 10, TrailingEntries: 3, MaxMessageBytes: 1 << 16}}, f, p)
		if err != nil {
			t.Fatal(err)
		}
		for range 3000 {
			w.now += step
			if err := g.Tick(p.clock()); err != nil {
				t.Fatal(err)
			}
		}
		return g
	}
	f := open(1)
	g := run(f)
	before, renewal := g.Node.AppliedIndex(), g.State.Members["c1"].Renewal
	if before < 30 || renewal < 20 {
		t.Fatalf("%d commands, %d renewals", before, renewal)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	f = open(1)
	if g = run(f); g.Node.AppliedIndex() <= before || g.State.Members["c1"].Renewal <= renewal || g.Stats.Restored != 1 {
		t.Errorf("after a restart: %d commands, renewal %d, %+v", g.Node.AppliedIndex(), g.State.Members["c1"].Renewal, g.Stats)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFileStorage(path, 2); !errors.Is(err, ErrWrongOwner) {
		t.Errorf("another node's folder: %v", err)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []int{1, 100, 5000, len(good) / 2, len(good) - 5000} { // torn
		torn := filepath.Join(t.TempDir(), "torn.db")
		if err := os.WriteFile(torn, good[:part], 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := OpenFileStorage(torn, 1)
		if err == nil {
			_, err = f.Load()
			_ = f.Close()
		}
		if err == nil && part < len(good)/2 {
			t.Errorf("%d of %d bytes are taken for a store", part, len(good))
		}
	}
	f = open(1)
	defer f.Close()
	err = f.db.Update(func(tx *bolt.Tx) error { // a flipped bit
		b := tx.Bucket(oneBucket)
		v := slices.Clone(b.Get(hardKey))
		v[len(v)-1] ^= 1
		return b.Put(hardKey, v)
	})
	if _, load := f.Load(); err != nil || !errors.Is(load, ErrCorrupt) {
		t.Errorf("a flipped bit: %v, %v", load, err)
	}
}
