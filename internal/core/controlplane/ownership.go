package controlplane

import "errors"

// ErrWrongCoordinator reports that another coordinator owns a proxy.
var ErrWrongCoordinator = errors.New("another coordinator owns this proxy")

// ownership determines which proxies belong to this coordinator if several coordinators share them. If owns is nil, it
// owns all proxies.
type ownership struct {
	owns       func(now float64, uid string) bool
	epoch      func() uint64
	onRedirect func(now float64, uid string)
}

// SetOwnership restricts the fleet to the proxies for which owns returns true. It is called again before every message,
// so that a coordinator stops sending as soon as its lease ends, even if messages are pending. The function epoch returns
// the ownership epoch, for frontends that transmit it. The function onRedirect, which may be nil, is called for each
// listed proxy that is refused because another coordinator owns it.
func (f *Fleet) SetOwnership(owns func(now float64, uid string) bool, epoch func() uint64,
	onRedirect func(now float64, uid string)) {
	f.owner = ownership{owns: owns, epoch: epoch, onRedirect: onRedirect}
}

// OwnershipEpoch returns the epoch of the current proxy ownership; 0 if this coordinator owns all proxies.
func (f *Fleet) OwnershipEpoch() uint64 {
	if f.owner.epoch == nil {
		return 0
	}
	return f.owner.epoch()
}

// EvictUnowned disconnects the joined proxies that this coordinator no longer owns. Their frontends close the connections,
// so that the proxies connect to another coordinator.
func (f *Fleet) EvictUnowned(now float64) {
	if f.owner.owns == nil {
		return
	}
	var unowned []*Proxy
	for _, proxy := range f.proxies {
		if proxy.Joined && !f.owns(now, proxy.UID) {
			unowned = append(unowned, proxy)
		}
	}
	sortByID(unowned)
	for _, proxy := range unowned {
		f.evict(now, proxy)
	}
}

func (f *Fleet) owns(now float64, uid string) bool {
	return f.owner.owns == nil || f.owner.owns(now, uid)
}

func (f *Fleet) evict(now float64, proxy *Proxy) {
	f.Stats.Evicted++
	f.Disconnect(now, proxy)
	proxy.frontend.Displaced(now, proxy)
}
