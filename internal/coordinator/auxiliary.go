package coordinator

import (
	"math/rand/v2"
	"net/netip"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/env"
	"snowquay/internal/feed/graphite"
)

// graphiteRandomStream separates the random numbers of the Graphite sender from others of the same seed.
const graphiteRandomStream = 0x67a

// linkOwner tells whose a connection is.
type linkOwner int

const (
	clientLink   linkOwner = iota // a proxy's, a server's, or not known yet
	graphiteLink                  // the Graphite sender's
	peerLink                      // a member's of the group, or a tool's that speaks to the group
)

// auxiliaryLinks are the connections of a Coordinator or a Host that are not its clients'.
type auxiliaryLinks struct {
	graphite *graphite.Sender // nil: no metrics are sent
	member   *Member          // nil: not in a group
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

// opened takes a connection to the group's port. It reports whether it has.
func (l *auxiliaryLinks) opened(now float64, conn env.Conn, from netip.Addr, port uint16) bool {
	if l.member == nil || port != l.member.port() {
		return false
	}
	l.member.Opened(now, conn, from, port)
	return true
}

func (l *auxiliaryLinks) connected(now float64, conn env.Conn, ok bool) {
	if l.graphite != nil && l.graphite.Connected(now, conn, ok) {
		return
	}
	if l.member != nil {
		l.member.Connected(now, conn, ok)
	}
}

// receive takes data of a connection, unless it is a client's.
func (l *auxiliaryLinks) receive(now float64, conn env.Conn, data []byte) linkOwner {
	if l.graphite != nil && l.graphite.Receive(conn) {
		return graphiteLink
	}
	if l.member != nil && l.member.Failed == nil && l.member.peers.receive(now, conn, data) {
		return peerLink
	}
	return clientLink
}

// closed reports whether the connection was not a client's.
func (l *auxiliaryLinks) closed(now float64, conn env.Conn) bool {
	if l.graphite != nil && l.graphite.Closed(now, conn) {
		return true
	}
	return l.member != nil && l.member.peers.closed(conn)
}

// delivered reports whether the connection is not a client's.
func (l *auxiliaryLinks) delivered(now float64, conn env.Conn, total uint64) bool {
	if l.graphite != nil && l.graphite.Delivered(now, conn, total) {
		return true
	}
	return l.member != nil && l.member.peers.delivered(conn, total)
}

// leave releases the member's lease and reports whether the group knows, or there is none to tell.
func (l *auxiliaryLinks) leave(now float64) (known bool) {
	return l.member == nil || !l.member.Ready() || l.member.Leave(now)
}

// addFleetMetrics adds a fleet's metrics to those that are sent next, their paths under a prefix.
func addFleetMetrics(sender *graphite.Sender, fleet *controlplane.Fleet, now float64, prefix ...string) {
	for _, metric := range fleet.Metrics(now) {
		path := append([]string{}, prefix...)
		path = append(path, metric.Path()...)
		sender.Add(metric.Cumulative, metric.Value, path...)
	}
}
