package settings

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// Fault is a fault that a scenario injects. A field that its kind does not use is -1 or empty.
type Fault struct {
	Kind                         string
	At                           float64 // seconds since the start
	Duration                     float64 // duration in seconds
	Factor                       float64
	Server, Proxy, FailureDomain int // the server and the proxy by their position in the settings
	Zone                         balancer.Zone
}

const (
	// noTarget is the value of a fault's unused target fields.
	noTarget = -1
	// problemFaultAfterEnd is the problem of a fault that starts after its scenario has ended.
	problemFaultAfterEnd = "it comes after the day's end"
)

// faultTargets is the attribute that names the target of each kind of fault that has one.
var faultTargets = map[string]string{
	"slow":             "server",
	"fast_errors":      "server",
	"hang":             "server",
	"crash":            "server",
	"answer_lost":      "server",
	"heavy_tail":       "server",
	"ageing":           "server",
	"conn_squeeze":     "server",
	"vanish":           "server",
	"drain":            "server",
	"shared_slow":      "pod",
	"mass_restart":     "pod",
	"zone_cut":         "zone",
	"false_reports":    "relay",
	"balancer_stall":   "relay",
	"balancer_restart": "relay",
	"balancer_deaf":    "relay",
	"reconnect":        "relay",
}

func (d *decoder) readFault(element *node, scenario *Scenario) Fault {
	fault := Fault{
		Kind:          element.attrs["kind"],
		At:            element.number("at"),
		Duration:      element.number("for"),
		Factor:        element.number("factor"),
		FailureDomain: noTarget,
		Zone:          noTarget,
	}
	target := faultTargets[fault.Kind]
	if target != "" && element.attrs[target] == "" {
		d.fail(element, "%s needs a %s", fault.Kind, target)
	}
	servers := scenario.Coordinator.Site.Servers
	fault.Server = d.readIndex(element, "server", len(servers))
	fault.Proxy = d.readIndex(element, "relay", len(scenario.Coordinator.Site.Proxies))
	if element.attrs["pod"] != "" {
		fault.FailureDomain = element.int("pod")
		inDomain := func(server registry.ServerConfig) bool {
			return int(server.FailureDomain) == fault.FailureDomain
		}
		if !slices.ContainsFunc(servers, inDomain) {
			d.fail(element, "no server is of pod %d", fault.FailureDomain)
		}
	}
	if element.attrs["zone"] != "" {
		fault.Zone = d.zone(element, "zone")
	}
	if fault.At > scenario.Seconds {
		d.fail(element, problemFaultAfterEnd)
	}
	return fault
}

// readIndex reads a position in a list of count items, or noTarget if the attribute is missing.
func (d *decoder) readIndex(element *node, name string, count int) int {
	if element.attrs[name] == "" {
		return noTarget
	}
	index := element.int(name)
	if index >= count {
		d.fail(element, "%s %d: there are %d, from 0", name, index, count)
	}
	return index
}
