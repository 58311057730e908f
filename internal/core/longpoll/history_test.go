package longpoll

import (
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// After any sequence of lost answers, early polls and restarts, proxies hold their tables, and the fleet counts them as
// up to date.
func TestProxiesConvergeToTables(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		site := testSite(3)
		f := newFixture(t, site, DefaultLimits)
		uids := []string{"a", "b", "c"}
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			uid := rapid.SampledFrom(uids).Draw(rt, "proxy")
			switch rapid.IntRange(0, 8).Draw(rt, "action") {
			case 0, 1:
				f.poll(uid, rapid.SampledFrom([]float64{0, 0.01, 0.1, 30}).Draw(rt, "wait"))
			case 2:
				f.loseAnswer[uid] = true
			case 3:
				f.drain(rapid.IntRange(0, 5).Draw(rt, "server"), rapid.Bool().Draw(rt, "on"))
			case 4:
				f.server.ProxyLeft(f.now, uid)
			case 5:
				delete(f.proxies, uid) // the proxy restarts; the server does not know yet that its parked poll is broken
			case 6:
				if rapid.IntRange(0, 5).Draw(rt, "restarts") == 0 {
					f.startCoordinator(site, DefaultLimits)
				}
			default:
				f.step(rapid.SampledFrom([]float64{0.001, 0.02, 0.06, 0.3, 3}).Draw(rt, "seconds"))
			}
		}
		clear(f.loseAnswer)
		f.advance(14, uids...)
		for _, uid := range uids {
			if difference := f.check(uid); difference != "" {
				rt.Error(difference)
			}
		}
		if f.fleet.UpToDate() != 3 {
			for _, uid := range uids {
				proxy := f.fleet.FindProxy(uid)
				rt.Logf("%s: tables %+v, polling %t, in flight %t, needs update %t", uid, proxy.Tables, f.proxies[uid].polling, proxy.InFlight(), f.fleet.NeedsUpdate(proxy))
			}
			rt.Errorf("%d proxies are up to date, want 3", f.fleet.UpToDate())
		}
	})
}

// The history of drains and of the entries that one proxy holds is linearizable: each answer shows a state that was
// current at some time between the poll and the answer. The check is itself tested with a history in which an old
// answer comes late.
func TestHistoriesAreLinearizable(t *testing.T) {
	type op struct {
		write bool
		set   uint64
	}
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			if operation := in.(op); operation.write {
				return true, operation.set
			}
			return out.(uint64) == state.(uint64), state
		},
	}
	for seed := range uint64(20) {
		f := newFixture(t, testSite(1), DefaultLimits)
		f.advance(1, "a")
		var history []porcupine.Operation
		random := seed*2862933555777941757 + 3037000493
		drained := uint64(0)
		drainedAtProxy := func() (set uint64) {
			for i := range 6 {
				if _, ok := f.proxies["a"].weights["0 "+string(serverName(i))]; !ok {
					set |= 1 << i
				}
			}
			return set
		}
		clock := func() int64 { return int64(f.now * 1e6) }
		for range 25 {
			random = random*6364136223846793005 + 1442695040888963407
			if i := int(random>>33) % 5; drained>>i&1 == 0 { // each server is drained only once, since its return to service is paced
				drained |= 1 << i
				call := clock()
				f.drain(i, true)
				f.step(0.06) // until the decision
				history = append(history, porcupine.Operation{Input: op{true, drained}, Call: call, Return: clock()})
			}
			if random>>60 < 4 {
				f.loseAnswer["a"] = true
			}
			call := clock()
			f.advance(0.1, "a")
			history = append(history, porcupine.Operation{ClientId: 1, Input: op{}, Output: drainedAtProxy(), Call: call, Return: clock()})
		}
		if !porcupine.CheckOperations(model, history) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
		for i := range history { // fault injection: the last answer shows an earlier state
			if operation := history[i].Input.(op); !operation.write {
				late := slices.Clone(history)
				late[len(late)-1].Output = history[i].Output
				if drained != history[i].Output.(uint64) && porcupine.CheckOperations(model, late) {
					t.Errorf("seed %d: an old answer that comes late was not detected", seed)
				}
				break
			}
		}
	}
}
