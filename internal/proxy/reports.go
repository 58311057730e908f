package proxy

import (
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/feed/collectd"
)

// sendReports sends load reports to the collector on the current coordinator's host.
func (p *Proxy) sendReports(now float64) {
	collector := netip.AddrPortFrom(p.coordinator.address().Addr(), p.config.CollectorPort)
	send := func(packet []byte) { p.io.Datagram(collector, packet) }
	writer := collectd.NewPacketWriter(now, p.config.UID, p.config.User, p.config.Key, send)
	p.Core.Reports(
		func(server balancer.Server, totals loadreport.Totals) { writer.Traffic(string(server), totals) },
		func(class balancer.Class, totals loadreport.Totals) {
			writer.Demand(p.config.Forwarding.ClassNames[class], totals)
		},
	)
	writer.Flush()
}
