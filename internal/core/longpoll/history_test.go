package longpoll

import (
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// After any sequence of lost answers, early polls and restarts, proxies hold their tables, and the fleet knows it.
func TestProxiesConvergeToTables(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := testSite(3)
		s := newFixture(t, x, DefaultLimits)
		uids := []string{"a", "b", "c"}
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			uid := rapid.SampledFrom(uids).Draw(rt, "proxy")
			switch rapid.IntRange(0, 8).Draw(rt, "what") {
			case 0, 1:
				s.poll(uid, rapid.SampledFrom([]float64{0, 0.01, 0.1, 30}).Draw(rt, "wait"))
			case 2:
				s.loseAnswer[uid] = true
			case 3:
				s.drain(rapid.IntRange(0, 5).Draw(rt, "server"), rapid.Bool().Draw(rt, "on"))
			case 4:
				s.server.ProxyLeft(s.now, uid)
			case 5:
				delete(s.proxies, uid) // it restarts, and its parked poll is not yet known to be broken
			case 6:
				if rapid.IntRange(0, 5).Draw(rt, "dies") == 0 {
					s.startCoordinator(x, DefaultLimits)
				}
			default:
				s.step(rapid.SampledFrom([]float64{0.001, 0.02, 0.06, 0.3, 3}).Draw(rt, "seconds"))
			}
		}
		clear(s.loseAnswer)
		s.advance(14, uids...)
		for _, uid := range uids {
			if wrong := s.check(uid); wrong != "" {
				rt.Error(wrong)
			}
		}
		if s.fleet.UpToDate() != 3 {
			for _, uid := range uids {
				p := s.fleet.FindProxy(uid)
				rt.Logf("%s %+v polling %t in flight %t needs update %t", uid, p.Tables, s.proxies[uid].polling, p.InFlight(), s.fleet.NeedsUpdate(p))
			}
			rt.Errorf("%d of 3 count as up to date", s.fleet.UpToDate())
		}
	})
}

// A history of drains and of what one proxy holds is linearizable: each answer shows a state that was current at some
// moment between the poll and the answer. A planted fault (an old answer shown late) is found.
func TestHistoriesAreLinearizable(t *testing.T) {
	type op struct {
		write bool
		set   uint64
	}
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			if o := in.(op); o.write {
				return true, o.set
			}
			return out.(uint64) == state.(uint64), state
		},
	}
	for seed := range uint64(20) {
		s := newFixture(t, testSite(1), DefaultLimits)
		s.advance(1, "a")
		var history []porcupine.Operation
		chance := seed*2862933555777941757 + 3037000493
		drained := uint64(0)
		held := func() (set uint64) {
			for i := range 6 {
				if _, ok := s.proxies["a"].weights["0 "+string(serverName(i))]; !ok {
					set |= 1 << i
				}
			}
			return set
		}
		clock := func() int64 { return int64(s.now * 1e6) }
		for range 25 {
			chance = chance*6364136223846793005 + 1442695040888963407
			if i := int(chance>>33) % 5; drained>>i&1 == 0 { // each is drained once, since returning is paced
				drained |= 1 << i
				call := clock()
				s.drain(i, true)
				s.step(0.06) // the decision
				history = append(history, porcupine.Operation{Input: op{true, drained}, Call: call, Return: clock()})
			}
			if chance>>60 < 4 {
				s.loseAnswer["a"] = true
			}
			call := clock()
			s.advance(0.1, "a")
			history = append(history, porcupine.Operation{ClientId: 1, Input: op{}, Output: held(), Call: call, Return: clock()})
		}
		if !porcupine.CheckOperations(model, history) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
		for i := range history { // planted: the last answer shows the state of the first
			if o := history[i].Input.(op); !o.write {
				late := slices.Clone(history)
				late[len(late)-1].Output = history[i].Output
				if drained != history[i].Output.(uint64) && porcupine.CheckOperations(model, late) {
					t.Errorf("seed %d: a late old answer was not found", seed)
				}
				break
			}
		}
	}
}
