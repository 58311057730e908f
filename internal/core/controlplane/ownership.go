package controlplane

import "errors"

// ErrWrongCoordinator says that another coordinator owns a proxy.
var ErrWrongCoordinator = errors.New("another coordinator owns this proxy")

// ownership tells which proxies belong to this coordinator, where several share them. Without functions, all do.
type ownership struct {
	owns       func(now float64, uid string) bool
	epoch      func() uint64
	onRedirect func(now float64, uid string)
}

// SetOwnership restricts the fleet to the proxies for which owns says so. It is asked again before every message, so
// that a coordinator stops at the moment its lease ends, whatever it was about to send. The function epoch is the
// ownership epoch, for frontends that pass it on. The function onRedirect, which may be nil, is called for each listed
// proxy that is refused because another coordinator owns it.
func (f *Fleet) SetOwnership(owns func(now float64, uid string) bool, epoch func() uint64,
	onRedirect func(now float64, uid string)) {
	f.owner = ownership{owns: owns, epoch: epoch, onRedirect: onRedirect}
}

// OwnershipEpoch is the epoch of the ownership that this coordinator goes by; 0 if it owns all proxies.
func (f *Fleet) OwnershipEpoch() uint64 {
	if f.owner.epoch == nil {
		return 0
	}
	return f.owner.epoch()
}

// EvictUnowned disconnects joined proxies that this coordinator no longer owns. Their frontends close the connections,
// so that they dial another coordinator.
func (f *Fleet) EvictUnowned(now float64) {
	if f.owner.owns == nil {
		return
	}
	var foreign []*Proxy
	for _, proxy := range f.proxies {
		if proxy.Joined && !f.owns(now, proxy.UID) {
			foreign = append(foreign, proxy)
		}
	}
	sortByID(foreign)
	for _, proxy := range foreign {
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
