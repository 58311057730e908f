package membership

import "slices"

const (
	maxMisroutedProxies = 8192 // maximum number of proxies observed; further ones are ignored
	claimAfter          = 6.0  // seconds of contacts after which a proxy is claimed; longer than the takeover from a dead coordinator
	maxContactGap       = 3.0  // seconds without a contact after which the proxy is assumed to have reached its owner
	minContacts         = 3
)

// contactHistory counts the contacts of one proxy with a coordinator that does not own it.
type contactHistory struct {
	first float64
	last  float64
	count int
}

// MisroutedProxies tracks proxies that contact this coordinator although another one owns them. A proxy that keeps doing so presumably
// cannot reach its owner, while the owner is connected to the group and keeps its lease. Such a proxy is then claimed. This handles a
// coordinator that is cut off from proxies but not from its peers. The cost is that a proxy that contacts this coordinator for no reason
// moves to it.
type MisroutedProxies struct {
	proxies map[string]*contactHistory
}

// NewMisroutedProxies returns an empty set.
func NewMisroutedProxies() *MisroutedProxies {
	return &MisroutedProxies{proxies: map[string]*contactHistory{}}
}

// Observe records that a proxy contacted this coordinator and was rejected.
func (p *MisroutedProxies) Observe(now float64, uid string) {
	proxy := p.proxies[uid]
	if proxy == nil && len(p.proxies) >= maxMisroutedProxies {
		return
	}
	if proxy == nil || now-proxy.last > maxContactGap {
		proxy = &contactHistory{first: now}
		p.proxies[uid] = proxy
	}
	proxy.last = now
	proxy.count++
}

// DueClaims returns the command by which self claims the proxies that have contacted it for long enough, if there are any. The history of
// these proxies is deleted: if the command is lost, they are claimed only after contacting this coordinator for as long again.
func (p *MisroutedProxies) DueClaims(now float64, self Peer, state *State) []Command {
	var uids []string
	for uid, proxy := range p.proxies {
		if now-proxy.last > maxContactGap {
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
