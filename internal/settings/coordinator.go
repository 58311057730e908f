package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/frontend/longpollhttp"
)

// Coordinator is the content of a coordinator's settings file.
type Coordinator struct {
	coordinator.Config
	Measurements netip.AddrPort // address on which load reports are received
	Metrics      netip.AddrPort // if not valid, no metrics are served
	Store        string         // file of the store; if empty, the state is lost when the coordinator ends
	Admin        netip.AddrPort // if not valid, the administration API is not served
	Callers      []authz.Credential
	GroupStore   string // file of the group's durable state; used only if the coordinator is in a group
}

// admissionIgnored is the value of the attribute "levels" for proxies that cannot limit admission.
const admissionIgnored = "ignored"

var admissionModes = map[string]balancer.AdmissionMode{
	"fraction": balancer.AdmissionFraction,
	"rate":     balancer.AdmissionRate,
}

// LoadCoordinator reads a coordinator's settings file. The given guards are disabled, so that tests can show
// that the guards are needed.
func LoadCoordinator(path string, disabledGuards ...controlplane.Guard) (*Coordinator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseCoordinator(path, text, disabledGuards...)
}

// ParseCoordinator parses the text of a coordinator's settings file, like LoadCoordinator. The name is used in
// error messages.
func ParseCoordinator(name string, text []byte, disabledGuards ...controlplane.Guard) (*Coordinator, error) {
	return readDocument(name, text, "coordinator", func(root *node) (*Coordinator, error) {
		return readCoordinator(root, disabledGuards)
	})
}

func readCoordinator(root *node, disabledGuards []controlplane.Guard) (*Coordinator, error) {
	dec := newDecoder()
	config := dec.readSite(root, disabledGuards)
	listen := root.firstChild("listen")
	config.SASP = dec.endpoint(listen, "sasp")
	config.HTTP = dec.endpoint(listen, "http")
	config.Measurements = dec.endpoint(listen, "measurements")
	config.Metrics = dec.endpoint(listen, "metrics")
	if !config.SASP.IsValid() && !config.HTTP.IsValid() {
		dec.addError(listen, "neither sasp nor http: no proxy could join")
	}
	fleet := root.firstChild("fleet")
	levels := fleet.attrs["levels"]
	if levels != admissionIgnored && config.SASP.IsValid() {
		config.Policy.MembersOnly = true
		if !config.HTTP.IsValid() {
			dec.addError(fleet, "levels=%q: SASP cannot express admission levels; proxies need http for them", levels)
		}
	}
	config.Store = listen.attrs["store"]
	dec.readGroup(root.firstChild("group"), config)
	config.Graphite = dec.readGraphite(root.firstChild("graphite"))
	config.Admin = dec.endpoint(listen, "admin")
	config.Callers = dec.readCallers(root)
	if config.Admin.IsValid() && len(config.Callers) == 0 {
		dec.addError(listen, "admin without a caller: no client could use the API")
	}
	return config, dec.err()
}

// readSite reads the elements that the settings of a coordinator and of a tenant have in common.
func (d *decoder) readSite(root *node, disabledGuards []controlplane.Guard) *Coordinator {
	config := &Coordinator{}
	config.Limits = saspsession.DefaultLimits
	config.LongPollHTTPLimits = longpollhttp.DefaultLimits
	config.LongPollLimits = longpoll.DefaultLimits
	site := &config.Site
	site.Seed = uint64(root.int("seed"))
	site.Limits = controlplane.DefaultLimits
	for _, guard := range disabledGuards {
		if site.DisabledGuards == nil {
			site.DisabledGuards = map[controlplane.Guard]bool{}
		}
		site.DisabledGuards[guard] = true
	}
	site.Zones = d.readZones(root)
	for _, n := range root.childrenNamed("class") {
		d.readClass(n, site)
	}
	readDataPlane(root.firstChild("fleet"), site)
	d.readChannelAndGuarantees(root, site)
	reports := root.firstChild("reports")
	site.Reporting = balancer.Reporting{Period: reports.number("period")}
	config.User = reports.attrs["user"]
	config.Key = reports.attrs["key"]
	d.checkCredentials(reports, config.User, config.Key)
	d.readServers(root.firstChild("servers"), config)
	d.readProxies(root.firstChild("relays"), site)
	d.readLimits(root.firstChild("limits"), config)
	return config
}

// checkCredentials checks that either both the user and the key for signing load reports are set, or neither.
func (d *decoder) checkCredentials(n *node, user, key string) {
	if (user == "") != (key == "") {
		d.addError(n, "user and key must be set together")
	}
}

// String returns a summary of the settings in several lines.
func (c *Coordinator) String() string {
	var text strings.Builder
	writePorts(&text, c.ListenAddresses(), c.HTTP)
	if g := c.Group; g != nil {
		membership := "an initial member"
		if g.Join {
			membership = "to be admitted by the running members"
		}
		fmt.Fprintf(&text,
			"member number %d of a group of %d, %s; lease of %g s, taken over %.1f s after a failure; store %q\n",
			g.Self, len(g.Members), membership, g.Lease.Duration, g.Lease.ExpiryTimeout(), c.GroupStore)
	}
	if g := c.Graphite; g != nil {
		fmt.Fprintf(&text, "figures to %s each %g s, with the prefix %s; buffer of %d values while the receiver is unreachable\n",
			g.Address, g.Interval, g.Prefix, g.Spool.MaxValues)
	}
	fmt.Fprintf(&text, "measurements on %s (signed: %t), store %q\n", c.Measurements, c.Key != "", c.Store)
	c.writeSite(&text)
	return text.String()
}

func (c *Coordinator) writeSite(text *strings.Builder) {
	site := &c.Site
	for i, class := range site.Classes {
		fmt.Fprintf(text, "class %s: benefit %g, goal time %g s, client timeout %g s, repeats %s\n",
			site.ClassNames[i], class.PriorityWeight, class.LatencyObjective, class.ClientTimeout,
			nameOf(retryPolicies, site.RetryPolicies[i]))
	}
	fmt.Fprintf(text, "%d servers listed, %d relays listed (strangers: %t), %d zones\n",
		len(site.Servers), len(site.Proxies), site.AllowUnlisted, len(site.Zones))
	fmt.Fprintf(text, "channel: %g lines per second, %g may be queued, %d messages to one relay within %g s\n",
		site.Channel.EntriesPerSecond, site.Channel.MaxQueued, site.Channel.MaxMessages, site.Channel.MessageWindow)
	fmt.Fprintf(text, "drains within %g s: a relay that has not acknowledged one after %.2f s is disconnected\n",
		site.Guarantees.DrainDeadline, site.Guarantees.DrainDeadline*site.Limits.DrainFraction)
	fmt.Fprintf(text, "limits: %d relays, %d servers, %d series, %d connections, %d bytes per message\n",
		site.Limits.MaxProxies, site.Limits.MaxServers, site.Limits.MaxSeries, c.Limits.MaxConnections,
		c.Limits.MaxMessageBytes)
}

// writePorts writes a line for each address that proxies and servers connect to.
func writePorts(text *strings.Builder, ports []netip.AddrPort, longPoll netip.AddrPort) {
	for _, port := range ports {
		protocol := "SASP"
		if port == longPoll {
			protocol = "long-poll HTTP"
		}
		fmt.Fprintf(text, "%s on %s\n", protocol, port)
	}
}
