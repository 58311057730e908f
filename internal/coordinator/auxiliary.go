package coordinator

import (
	"math/rand/v2"
	"net/netip"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/env"
	"snowquay/internal/feed/graphite"
)

// graphiteRandomStream is the generator stream of the Graphite sender. It makes its random numbers differ from those of other
// users of the same seed.
const graphiteRandomStream = 0x67a

// linkOwner is the component that a connection belongs to.
type linkOwner int

const (
	clientLink   linkOwner = iota // a proxy, a server, or an unidentified client
	graphiteLink                  // the Graphite sender
	peerLink                      // group membership: another member, or an administration tool
)

// auxiliaryLinks handles the connections of a Coordinator or a Host that do not belong to proxies or servers.
type auxiliaryLinks struct {
	graphite *graphite.Sender // nil if no metrics are sent
	member   *Member          // nil if it is in no group
}

func newGraphiteSender(now float64, setup graphite.Config, seed uint64) *graphite.Sender {
	return graphite.New(now, setup, rand.New(rand.NewPCG(seed, graphiteRandomStream)).Float64)
}

func (l *auxiliaryLinks) start(now float64, io env.IO) {
	if l.graphite != nil {
		l.graphite.Start(io)
	}
	if l.member != nil {
		l.member.begin(now, io)
	}
}

// opened accepts a connection if it was opened to the group's port, and reports whether it was.
func (l *auxiliaryLinks) opened(now float64, conn env.Conn, from netip.Addr, port uint16) bool {
	if l.member == nil || port != l.member.port() {
		return false
	}
	l.member.Opened(now, conn, from, port)
	return true
}

// incomingPeers returns the number of connections that peers of the group and tools have opened.
func (l *auxiliaryLinks) incomingPeers() int {
	if l.member == nil {
		return 0
	}
	return len(l.member.peers.incoming)
}

// closeUnauthenticated closes up to count connections to the group's port whose peers have not authenticated themselves.
func (l *auxiliaryLinks) closeUnauthenticated(now float64, count int) {
	if l.member != nil {
		l.member.peers.closeUnauthenticated(now, minAgeUnidentified, count)
	}
}

func (l *auxiliaryLinks) connected(now float64, conn env.Conn, ok bool) {
	if l.graphite != nil && l.graphite.Connected(now, conn, ok) {
		return
	}
	if l.member != nil {
		l.member.Connected(now, conn, ok)
	}
}

// receive handles data of the Graphite sender's and the group's connections, and returns the owner of the connection.
func (l *auxiliaryLinks) receive(now float64, conn env.Conn, data []byte) linkOwner {
	if l.graphite != nil && l.graphite.Receive(conn) {
		return graphiteLink
	}
	if l.member != nil && l.member.Failed == nil && l.member.peers.receive(now, conn, data) {
		return peerLink
	}
	return clientLink
}

// closed handles the end of a connection and reports whether it was an auxiliary one.
func (l *auxiliaryLinks) closed(now float64, conn env.Conn) bool {
	if l.graphite != nil && l.graphite.Closed(now, conn) {
		return true
	}
	return l.member != nil && l.member.peers.closed(conn)
}

// delivered handles the delivery of data and reports whether the connection is an auxiliary one.
func (l *auxiliaryLinks) delivered(now float64, conn env.Conn, total uint64) bool {
	if l.graphite != nil && l.graphite.Delivered(now, conn, total) {
		return true
	}
	return l.member != nil && l.member.peers.delivered(conn, total)
}

// leave releases the member's lease and reports whether the group has committed that, or there is no lease to release.
func (l *auxiliaryLinks) leave(now float64) (released bool) {
	return l.member == nil || !l.member.Ready() || l.member.Leave(now)
}

// addFleetMetrics adds a fleet's metrics to the next batch of a sender. Their paths start with a prefix.
func addFleetMetrics(sender *graphite.Sender, fleet *controlplane.Fleet, now float64, prefix ...string) {
	for _, metric := range fleet.Metrics(now) {
		path := append([]string{}, prefix...)
		path = append(path, metric.Path()...)
		sender.Add(metric.Cumulative, metric.Value, path...)
	}
}
