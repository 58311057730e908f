package settings

import (
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
)

var (
	idempotencies = map[string]balancer.Idempotency{
		"free":        balancer.Idempotent,
		"guarded":     balancer.Keyed,
		"single-shot": balancer.NonIdempotent,
	}
	dedupScopes = map[string]balancer.DedupScope{
		"all":  balancer.EveryServer,
		"zone": balancer.SameZone,
		"pod":  balancer.SameFailureDomain,
	}
	retryPolicies = map[string]balancer.RetryPolicy{
		"none":    balancer.RetryNever,
		"proof":   balancer.RetryIfNotExecuted,
		"failure": balancer.RetryOnce,
		"twice":   balancer.RetryTwice,
	}
)

// reservedMessages is the part of the limit on messages to a proxy that is reserved for bursts, joins and late
// messages.
const reservedMessages = 5

func (d *decoder) readClass(element *node, site *controlplane.Site) {
	class := balancer.RequestClass{
		PriorityWeight:   element.number("benefit"),
		LateWeight:       element.number("late-benefit"),
		LatencyObjective: element.number("goal-time"),
		ClientTimeout:    element.number("client-timeout"),
		Idempotency:      idempotencies[element.attrs["effect"]],
		DedupScope:       dedupScopes[element.attrs["same"]],
		DedupWindow:      element.number("window"),
		ZoneLocal:        element.bool("own-zone"),
		Writes:           element.bool("writes"),
	}
	name := element.attrs["name"]
	if slices.Contains(site.ClassNames, name) {
		d.addError(element, "there are two classes named %q", name)
	}
	if class.LatencyObjective > class.ClientTimeout {
		d.addError(element, "goal-time is longer than client-timeout")
	}
	if class.Idempotency == balancer.Keyed && class.DedupWindow == 0 {
		d.addError(element, "a class with the effect guarded needs a window")
	}
	for _, zoneName := range strings.Fields(element.attrs["zones"]) {
		zone, ok := d.zones[zoneName]
		if !ok {
			d.addError(element, "zones: no zone is named %q", zoneName)
		}
		class.AllowedZones = append(class.AllowedZones, zone)
	}
	slices.Sort(class.AllowedZones)
	policy := controlplane.SafeRetryPolicy(class, retryPolicies[element.attrs["repeats"]], site.DisabledGuards)
	site.ClassNames = append(site.ClassNames, name)
	site.Classes = append(site.Classes, class)
	site.RetryPolicies = append(site.RetryPolicies, policy)
}

// readDataPlane reads the properties of the proxies. The classes must be read before, since the default retry
// policy is the most restrictive one of the classes.
func readDataPlane(fleet *node, site *controlplane.Site) {
	defaultRetry := balancer.RetryTwice
	for _, policy := range site.RetryPolicies {
		defaultRetry = min(defaultRetry, policy)
	}
	admission := balancer.AdmissionIgnored // SASP cannot express admission
	if levels := fleet.attrs["levels"]; levels != admissionIgnored {
		admission = admissionModes[levels]
	}
	site.DataPlane = balancer.DataPlane{
		Proxies:            fleet.int("relays"),
		Coordinators:       1,
		DefaultTableSize:   fleet.int("standing"),
		EjectAfterFailures: fleet.int("eject-after"),
		DefaultRetry:       defaultRetry,
		MinConnections:     fleet.number("least-connections"),
		Admission:          admission,
	}
}

func (d *decoder) readChannelAndGuarantees(root *node, site *controlplane.Site) {
	channel := root.firstChild("channel")
	site.Channel = balancer.Channel{
		EntriesPerSecond: channel.number("lines-per-second"),
		MessageOverhead:  channel.number("message-lines"),
		MaxQueued:        channel.number("most-waiting"),
		MeanDelay:        channel.number("mean-way"),
		MaxDelay:         channel.number("longest-way"),
		MaxMessages:      channel.int("most-messages"),
		MessageWindow:    channel.number("message-window"),
	}
	rules := root.firstChild("rules")
	site.Guarantees = balancer.Guarantees{
		DrainDeadline:       rules.number("drain-within"),
		EmptyTableDeadline:  rules.number("bare-within"),
		WarmupStartFraction: rules.number("cold-share"),
		WarmupDuration:      rules.number("cold-for"),
		OverloadFactor:      rules.number("fall-multiple"),
		OverloadWindow:      rules.number("fall-within"),
	}
	if site.Channel.MaxDelay < site.Channel.MeanDelay {
		d.addError(channel, "longest-way is shorter than mean-way")
	}
	if site.Channel.MaxDelay >= site.Guarantees.DrainDeadline {
		d.addError(rules, "drain-within cannot be met: a command may take %v s to arrive", site.Channel.MaxDelay)
	}
	if limit := site.Channel.MaxMessages; limit > 0 && limit <= reservedMessages {
		d.addError(channel, "most-messages: must be at least 6, since 5 are reserved for bursts, joins and late messages")
	}
}

func (d *decoder) readServers(servers *node, config *Coordinator) {
	config.Policy = saspsession.Policy{
		FleetUID:          servers.attrs["uid"],
		AnyAgent:          servers.attrs["agents"] == "any",
		AllowUnlisted:     servers.attrs["register"] != "listed",
		BalancersRegister: servers.attrs["register"] == "balancers",
	}
	site := &config.Site
	servers.overrideNumber("hold", &site.Limits.ServerHold)
	lines := map[balancer.Server]int{}
	for _, element := range servers.childrenNamed("server") {
		server := balancer.Server(d.endpoint(element, "address").String())
		if capacity := element.number("capacity"); capacity > 0 {
			if site.ServerCapacities == nil {
				site.ServerCapacities = map[balancer.Server]controlplane.ServerCapacity{}
			}
			site.ServerCapacities[server] = controlplane.ServerCapacity{Pool: element.attrs["pool"], Capacity: capacity}
		}
		if line := lines[server]; line > 0 {
			d.addError(element, "%s is already listed in line %d", server, line)
		}
		lines[server] = element.line
		site.Servers = append(site.Servers, registry.ServerConfig{
			Server:        server,
			Zone:          d.zone(element, "zone"),
			Kind:          balancer.Kind(element.int("kind")),
			FailureDomain: balancer.FailureDomain(element.int("pod")),
			Weight:        element.number("weight"),
			Static:        element.bool("standing"),
		})
	}
}

func (d *decoder) readProxies(proxies *node, site *controlplane.Site) {
	site.AllowUnlisted = proxies.bool("strangers")
	if proxies.attrs["stranger-zone"] != "" {
		site.UnlistedZone = d.zone(proxies, "stranger-zone")
	}
	lines := map[string]int{}
	for _, element := range proxies.childrenNamed("relay") {
		uid := element.attrs["uid"]
		if line := lines[uid]; line > 0 {
			d.addError(element, "relay %q is already listed in line %d", uid, line)
		}
		lines[uid] = element.line
		site.Proxies = append(site.Proxies, controlplane.ProxyConfig{
			UID:          uid,
			Zone:         d.zone(element, "zone"),
			ExpectedRate: element.number("usual"),
		})
	}
	if !site.AllowUnlisted && len(site.Proxies) == 0 {
		d.addError(proxies, "no relay could join: none is listed, and strangers are not allowed")
	}
}

func (d *decoder) readLimits(element *node, config *Coordinator) {
	if element == nil {
		return
	}
	limits := &config.Site.Limits
	element.overrideInt("relays", &limits.MaxProxies)
	element.overrideInt("servers", &limits.MaxServers)
	element.overrideInt("series", &limits.MaxSeries)
	element.overrideInt("connections", &config.Limits.MaxConnections)
	element.overrideInt("message-bytes", &config.Limits.MaxMessageBytes)
	element.overrideInt("buffered-bytes", &config.Limits.MaxBuffered)
	element.overrideInt("unread-bytes", &config.Limits.MaxUnread)
	element.overrideNumber("silent-for", &config.Limits.IdentifyTimeout)
	element.overrideNumber("stall-for", &limits.StallTimeout)
	if len(config.Site.Servers) > limits.MaxServers {
		d.addError(element, "servers: the limit is lower than the %d that are listed", len(config.Site.Servers))
	}
	if len(config.Site.Proxies) > limits.MaxProxies {
		d.addError(element, "relays: the limit is lower than the %d that are listed", len(config.Site.Proxies))
	}
}
