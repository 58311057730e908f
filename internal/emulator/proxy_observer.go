package emulator

import (
	"net/netip"

	"snowquay/balancer"
)

// ProxyObserver implements proxy.Observer. It reports the events of a real proxy to the invariant checker.
type ProxyObserver struct {
	Checker *InvariantChecker
	UID     string
	Classes []int // class index of the checker, by class index of the proxy
}

// Started reports the source address of the proxy's connections.
func (o *ProxyObserver) Started(host netip.Addr) { o.Checker.relayStarted(o.UID, host) }

// AttemptSent implements proxy.Observer.
func (o *ProxyObserver) AttemptSent(now float64, server balancer.Server) {
	if address, err := netip.ParseAddrPort(string(server)); err == nil {
		o.Checker.attemptSent(now, o.UID, address)
	}
}

// Joined implements proxy.Observer.
func (o *ProxyObserver) Joined(now float64) { o.Checker.relayJoined(now, o.UID) }

// Left implements proxy.Observer.
func (o *ProxyObserver) Left(float64) { o.Checker.relayLeft(o.UID) }

// TableChanged implements proxy.Observer. A negative number of entries means that no message caused the change.
func (o *ProxyObserver) TableChanged(now float64, entries int, hasEntry []bool) {
	if entries >= 0 {
		o.Checker.messageReceived(now, o.UID, entries)
	}
	for class, has := range hasEntry {
		o.Checker.tableChanged(now, o.UID, o.Classes[class], has)
	}
}
