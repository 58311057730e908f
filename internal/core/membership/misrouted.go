package membership

import "slices"

const (
	maxMisroutedProxies = 8192 // further proxies are not observed
	claimAfter          = 6.0  // seconds of contacts after which a proxy is claimed: longer than the takeover from a dead coordinator
	contactGap          = 3.0  // seconds without a contact after which the proxy has evidently found its owner
	minContacts         = 3
)

// contacts of one proxy with a coordinator that does not own it.
type contacts struct {
	first float64
	last  float64
	count int
}

// MisroutedProxies are proxies that contact this coordinator although another one owns them. A proxy that keeps doing so cannot reach its
// owner, which in turn is connected to the group and keeps its lease; the proxy is then claimed. Guards against a coordinator that is cut
// off from proxies but not from its peers; it does harm where a proxy contacts this coordinator for no reason, and moves to it.
type MisroutedProxies struct {
	proxies map[string]*contacts
}

// NewMisroutedProxies returns an empty set.
func NewMisroutedProxies() *MisroutedProxies {
	return &MisroutedProxies{proxies: map[string]*contacts{}}
}

// Observe notes that a proxy contacted this coordinator and was rejected.
func (p *MisroutedProxies) Observe(now float64, uid string) {
	proxy := p.proxies[uid]
	if proxy == nil && len(p.proxies) >= maxMisroutedProxies {
		return
	}
	if proxy == nil || now-proxy.last > contactGap {
		proxy = &contacts{first: now}
		p.proxies[uid] = proxy
	}
	proxy.last = now
	proxy.count++
}

// DueClaims returns the command by which self claims the proxies that have contacted it for long enough, if there are any. Those proxies
// are then no longer observed: should the command be lost, they have to keep contacting for as long again.
func (p *MisroutedProxies) DueClaims(now float64, self Peer, state *State) []Command {
	var uids []string
	for uid, proxy := range p.proxies {
		if now-proxy.last > contactGap {
			delete(p.proxies, uid)
			continue
		}
		owner, ok := state.Owner(uid)
		if ok && owner != self && proxy.count >= minContacts && proxy.last-proxy.first >= claimAfter {
			uids = append(uids, uid)
			delete(p.proxies, uid)
		}
	}
	if len(uids) == 0 {
		return nil
	}
	slices.Sort(uids)
	return []Command{{Kind: ClaimProxies, Peer: self, SeenEpoch: state.Epoch, UIDs: uids}}
}
