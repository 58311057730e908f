package consensus

import (
	"errors"
	"fmt"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
)

// join starts a coordinator that a running group is to take in; its seat is asked for by another one, as the transport
// does for it.
func (w *town) join(id, by ID) *peer {
	p := &peer{town: w, id: id, rate: 1, disk: &MemoryStorage{OwnDataDirID: uint64(id) * 7}}
	w.peers[id] = p
	w.members = append(w.members, id)
	p.start()
	w.peers[by].group.Propose(w.peers[by].clock(), p.group.RegisterCommand())
	return p
}

func (w *town) unseat(id, by ID) {
	w.peers[by].group.Propose(w.peers[by].clock(), membership.Command{Kind: membership.RemoveRegistration, MemberID: membership.MemberID(id)})
}

func (w *town) voters(t *testing.T) int {
	t.Helper()
	for _, id := range w.members {
		if p := w.peers[id]; p.group != nil {
			if c, ok := p.group.Node.Config(); ok {
				return len(c.Voters)
			}
		}
	}
	for _, id := range w.members {
		if p := w.peers[id]; p.group != nil {
			t.Logf("%d: conf %v, seats %v, commit %d, term %d", id, p.group.Node.conf, p.group.State.Registrations, p.group.Node.CommitIndex(),
				p.group.Node.raw.BasicStatus().GetTerm())
		} else {
			t.Logf("%d has ended", id)
		}
	}
	t.Fatal("there is no leader")
	return 0
}

// One is lost for good and replaced under a new number; a group of three goes on through it and through the loss of
// another one.
func TestOneLostForGoodIsReplaced(t *testing.T) {
	w := found(t, 3, 4)
	w.heal()
	w.run(6)
	w.peers[3].group = nil
	w.run(5)
	w.unseat(3, 1)
	p := w.join(4, 1)
	w.run(8)
	if n := w.voters(t); n != 3 || w.unled > 0 || len(p.group.State.AliveMembers()) != 3 || !p.group.Lease.Valid(p.clock()) {
		t.Fatalf("%d voters, living %v, unled for %.1f s", n, p.group.State.AliveMembers(), w.unled)
	}
	w.peers[1].group = nil // a majority of the new three is left
	if w.run(9); w.unled > 0 || w.double != "" {
		t.Errorf("unled for %.1f s, %s", w.unled, w.double)
	}
	w.peers[3].start() // the lost one turns up again, with all that it had
	if w.run(9); w.peers[3].group != nil && w.peers[3].group.Lease.Valid(w.peers[3].clock()) || w.double != "" {
		t.Error("one that was taken out leads again")
	}
	w.unseat(3, 4) // twice does no harm
	lost := w.peers[4].group.Stats.Invalid
	w.run(2)
	if w.peers[4].group.Stats.Invalid == lost {
		t.Error("a number that is gone was taken out again")
	}
}

// A coordinator that lives is taken out: it stops by itself, and the others take its proxies over.
func TestOneIsTakenOut(t *testing.T) {
	w := found(t, 5, 6)
	w.heal()
	w.run(6)
	lead := w.peers[1].group.Node.Leader()
	w.unseat(lead, lead) // the leader of consensus, at that
	if w.run(8); w.peers[lead].group != nil && w.peers[lead].group.Lease.Valid(w.peers[lead].clock()) {
		t.Error("it goes on")
	}
	if n := w.voters(t); n != 4 || w.unled > 0 || w.double != "" {
		t.Errorf("%d voters, unled for %.1f s, %s", n, w.unled, w.double)
	}
}

// Members come and go while others die, stop and are cut off: never two that would order one proxy.
func TestMembersChangeInTrouble(t *testing.T) {
	for seed := range max(10, *seeds/3) {
		w := found(t, 3, 100+seed)
		w.heal()
		w.run(6)
		next := ID(4)
		for i := range 12 {
			w.trouble()
			w.run(0.5 + 3*w.chance.Float64())
			by := w.members[w.chance.IntN(len(w.members))]
			if w.peers[by].group == nil {
				continue
			}
			if i%3 == 0 && next < 8 {
				w.join(next, by)
				next++
			} else if i%3 == 1 {
				w.unseat(w.members[w.chance.IntN(len(w.members))], by)
			}
		}
		w.heal()
		w.run(20)
		if w.double != "" {
			t.Errorf("seed %d: %s", seed, w.double)
		}
		if w.unled > 0 {
			t.Errorf("seed %d: some proxies are led by nobody after 20 s of calm, %d voters", seed, w.voters(t))
		}
	}
}

// A folder put back from an old copy lacks what its node had confirmed: the node ends instead of going on without.
func TestAnOldCopyEndsTheNode(t *testing.T) {
	w := found(t, 3, 8)
	w.heal()
	w.run(6)
	victim := w.members[0]
	if w.peers[victim].group.Node.Leader() == victim {
		victim = w.members[1]
	}
	old := w.peers[victim].disk.Copy()
	w.run(5)
	w.peers[victim].group = nil
	w.peers[victim].disk = &old
	w.peers[victim].start()
	p := w.peers[victim]
	var err error
	for range 300 {
		mail := w.mail
		w.mail = nil
		w.now += step
		for _, l := range mail {
			q := w.peers[l.to]
			if q.group == nil || l.at > w.now {
				continue
			}
			if e := q.group.Step(q.clock(), l.b); q == p && e != nil && err == nil {
				err = e
			}
		}
		for _, id := range w.members {
			if q := w.peers[id]; q.group != nil && (q != p || err == nil) {
				if e := q.group.Tick(q.clock()); e != nil && q == p {
					err = e
				}
			}
		}
	}
	if !errors.Is(err, ErrLogTruncated) {
		t.Errorf("it goes on with a log that lacks what it had confirmed: %v", err)
	}
}

// Drains that are told are kept when every living coordinator knows them, or refused when no majority can be reached.
func TestDrainsAreKeptOrRefused(t *testing.T) {
	w := found(t, 3, 9)
	w.heal()
	w.run(6)
	p := w.peers[1]
	first, _ := p.group.Drain(p.clock(), "a", true)
	w.peers[2].paused = w.now + 2 // it holds its lease for longer: the drain must wait for it
	w.run(1)
	if len(p.kept) != 0 {
		t.Error("it was confirmed though one that holds its lease does not know it")
	}
	if w.run(2); len(p.kept) != 1 || p.kept[0] != first {
		t.Errorf("kept %v", p.kept)
	}
	w.peers[2].group = nil
	w.run(0.1)
	second, _ := p.group.Drain(p.clock(), "b", true)
	if w.run(5); len(p.kept) != 2 || p.kept[1] != second {
		t.Errorf("after a death: kept %v", p.kept)
	}
	w.peers[3].group = nil
	third, _ := p.group.Drain(p.clock(), "c", true)
	if w.run(10); len(p.refused) != 1 || p.refused[0] != third || len(p.kept) != 2 {
		t.Errorf("without a majority: refused %v, kept %v", p.refused, p.kept)
	}
}

// One that flaps every second, and one that has to take over while it catches up with what it missed: all proxies are led
// again soon, never by two.
func TestFlappingAndCatchingUp(t *testing.T) {
	w := found(t, 3, 12)
	w.heal()
	w.run(6)
	w.longest = 0
	for i := range 20 {
		p := w.peers[w.members[0]]
		if p.group = nil; i%2 == 1 {
			p.start()
		}
		w.run(1)
	}
	w.heal()
	if w.run(6); w.longest > 5 || w.unled > 0 || w.double != "" {
		t.Errorf("flapping: some proxies led by nobody for %.1f s, %s", w.longest, w.double)
	}
	late := w.members[2]
	w.cut[[2]ID{w.members[0], late}], w.cut[[2]ID{w.members[1], late}] = true, true
	for i := range 300 { // it misses more than the log keeps, so it needs a snapshot
		w.peers[w.members[0]].group.StoreRecords(w.peers[w.members[0]].clock(), []registry.Record{{ServerConfig: registry.ServerConfig{Server: balancer.Server(fmt.Sprint(i))}}})
		w.run(0.02)
	}
	clear(w.cut)
	w.peers[w.members[0]].group = nil
	w.longest = 0
	if w.run(9); w.longest > 6 || w.unled > 0 || w.double != "" || len(w.peers[late].group.State.Records) < 280 { // some are lost on the way
		t.Errorf("catching up: led by nobody for %.1f s, %s, %d records", w.longest, w.double, len(w.peers[late].group.State.Records))
	}
}
