package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/membership"
)

// GroupMember is a coordinator of a group that runs in its own process in a scenario.
type GroupMember struct {
	Number                   membership.MemberID
	SASP, HTTP, Measurements netip.AddrPort // if HTTP is not valid, the long-poll API is not served
	Metrics                  netip.AddrPort // if not valid, no metrics are served
	Store, GroupStore, Key   string
	Peers                    map[membership.MemberID]netip.AddrPort
}

// Settings returns the settings file of a group member in the scenario.
func (s *Scenario) Settings(m GroupMember) ([]byte, error) {
	root := *s.coordinator
	root.children = nil
	for _, child := range s.coordinator.children {
		switch child.name {
		case "group":
		case "listen":
			root.children = append(root.children, m.listenElement(child), m.groupElement())
		default:
			root.children = append(root.children, child)
		}
	}
	return root.encode()
}

func (m GroupMember) listenElement(original *node) *node {
	listen := *original
	listen.attrs = map[string]string{"measurements": m.Measurements.String(), "store": m.Store}
	for name, address := range map[string]netip.AddrPort{"sasp": m.SASP, "http": m.HTTP, "metrics": m.Metrics} {
		if address.IsValid() {
			listen.attrs[name] = address.String()
		}
	}
	return &listen
}

func (m GroupMember) groupElement() *node {
	group := &node{name: "group", attrs: map[string]string{
		"number": fmt.Sprint(m.Number),
		"key":    m.Key,
		"store":  m.GroupStore,
	}}
	for _, number := range slices.Sorted(maps.Keys(m.Peers)) {
		group.children = append(group.children, &node{name: "peer", attrs: map[string]string{
			"number":  fmt.Sprint(number),
			"address": m.Peers[number].String(),
		}})
	}
	return group
}

// Encode returns the scenario as a file: the settings from which it was read, updated with its current fleet,
// faults and parameters.
func (s *Scenario) Encode() ([]byte, error) {
	root := &node{name: "day", attrs: map[string]string{
		"seconds": formatNumber(s.Seconds),
		"seed":    fmt.Sprint(s.Seed),
	}}
	root.children = append(root.children, s.coordinatorElement(), s.serversElement(), s.queriesElement())
	root.children = append(root.children, &node{name: "net", attrs: map[string]string{
		"split":  formatNumber(s.Split),
		"loss":   formatNumber(s.Loss),
		"double": formatNumber(s.Duplication),
		"late":   formatNumber(s.Delay),
	}})
	for _, fault := range s.Faults {
		root.children = append(root.children, fault.element(s.Coordinator.Site.Zones))
	}
	return root.encode()
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

// coordinatorElement returns the element from which the coordinator was read, updated with its current values.
func (s *Scenario) coordinatorElement() *node {
	coordinator := *s.coordinator
	coordinator.children = nil
	site := &s.Coordinator.Site
	for _, original := range s.coordinator.children {
		child := *original
		child.attrs = maps.Clone(original.attrs)
		switch child.name {
		case "servers":
			child.children = serverElements(site)
		case "relays":
			child.children = proxyElements(site)
		case "fleet":
			child.attrs["relays"] = fmt.Sprint(site.DataPlane.Proxies)
			child.attrs["levels"] = nameOf(admissionModes, site.DataPlane.Admission)
			if site.DataPlane.Admission == balancer.AdmissionIgnored {
				child.attrs["levels"] = admissionIgnored
			}
		case "channel":
			child.attrs["lines-per-second"] = formatNumber(site.Channel.EntriesPerSecond)
			child.attrs["most-waiting"] = formatNumber(site.Channel.MaxQueued)
		case "reports":
			child.attrs["period"] = formatNumber(site.Reporting.Period)
		}
		coordinator.children = append(coordinator.children, &child)
	}
	return &coordinator
}

func serverElements(site *controlplane.Site) []*node {
	var elements []*node
	for _, server := range site.Servers {
		elements = append(elements, &node{name: "server", attrs: map[string]string{
			"address":  string(server.Server),
			"zone":     site.Zones[server.Zone],
			"pod":      fmt.Sprint(server.FailureDomain),
			"kind":     fmt.Sprint(server.Kind),
			"weight":   formatNumber(server.Weight),
			"standing": fmt.Sprint(server.Static),
		}})
	}
	return elements
}

func proxyElements(site *controlplane.Site) []*node {
	var elements []*node
	for _, proxy := range site.Proxies {
		elements = append(elements, &node{name: "relay", attrs: map[string]string{
			"uid":   proxy.UID,
			"zone":  site.Zones[proxy.Zone],
			"usual": formatNumber(proxy.ExpectedRate),
		}})
	}
	return elements
}

func (s *Scenario) serversElement() *node {
	return &node{name: "servers", attrs: map[string]string{
		"cores":           fmt.Sprint(s.Cores),
		"queue":           fmt.Sprint(s.Queue),
		"slowest":         formatNumber(s.Slowest),
		"fastest":         formatNumber(s.Fastest),
		"connections":     fmt.Sprint(s.Model.ConnectionLimit),
		"connection-work": formatNumber(s.Model.ConnectionCost),
		"key-for":         formatNumber(s.Model.KeyCacheDuration),
		"key-less":        formatNumber(s.Model.KeyCacheSaving),
		"key-most":        fmt.Sprint(s.Model.MaxCachedKeys),
		"stops":           fmt.Sprint(s.Model.CancelsWork),
	}}
}

func (s *Scenario) queriesElement() *node {
	queries := &node{name: "queries", attrs: map[string]string{
		"rate":       formatNumber(s.Rate),
		"keys":       fmt.Sprint(s.Keys),
		"spread":     formatNumber(s.Spread),
		"popularity": formatNumber(s.Clients.Popularity),
		"again":      fmt.Sprint(s.Clients.Retries),
		"wait":       formatNumber(s.Clients.RetryWait),
		"patience":   formatNumber(s.Clients.Patience),
	}}
	for _, mix := range s.Classes {
		queries.children = append(queries.children, &node{name: "query", attrs: map[string]string{
			"class": mix.Class,
			"share": formatNumber(mix.Share),
			"work":  formatNumber(mix.Work),
		}})
	}
	return queries
}

func (f Fault) element(zoneNames []string) *node {
	element := &node{name: "trouble", attrs: map[string]string{
		"kind":   f.Kind,
		"at":     formatNumber(f.At),
		"for":    formatNumber(f.Duration),
		"factor": formatNumber(f.Factor),
	}}
	for name, value := range map[string]int{"server": f.Server, "relay": f.Proxy, "pod": f.FailureDomain} {
		if value >= 0 {
			element.attrs[name] = fmt.Sprint(value)
		}
	}
	if f.Zone >= 0 {
		element.attrs["zone"] = zoneNames[f.Zone]
	}
	return element
}
