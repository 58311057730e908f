package settings

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// Fault is a fault that is injected in a scenario. Target fields that are missing in the file of a scenario are
// noTarget.
type Fault struct {
	Kind                         string
	At                           float64 // seconds since the start of the scenario
	Duration                     float64 // seconds
	Factor                       float64
	Server, Proxy, FailureDomain int // servers and proxies are identified by their index in the settings
	Zone                         balancer.Zone
}

const (
	// noTarget is the value of the target fields that a fault does not use.
	noTarget = -1
	// problemFaultAfterEnd is the error message for a fault that starts after the end of its scenario.
	problemFaultAfterEnd = "the fault starts after the scenario's end"
)

// faultTargets maps each kind of fault that has a target to the attribute that specifies the target.
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
		d.addError(element, "%s needs a %s", fault.Kind, target)
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
			d.addError(element, "no server belongs to pod %d", fault.FailureDomain)
		}
	}
	if element.attrs["zone"] != "" {
		fault.Zone = d.zone(element, "zone")
	}
	if fault.At > scenario.Seconds {
		d.addError(element, problemFaultAfterEnd)
	}
	return fault
}

// readIndex reads an index into a list of count items. It returns noTarget if the attribute is missing.
func (d *decoder) readIndex(element *node, name string, count int) int {
	if element.attrs[name] == "" {
		return noTarget
	}
	index := element.int(name)
	if index >= count {
		d.addError(element, "%s %d: there are %d, numbered from 0", name, index, count)
	}
	return index
}
