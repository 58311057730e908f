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
	Measurements netip.AddrPort
	Metrics      netip.AddrPort // not valid: no metrics are served
	Store        string         // file of the store; empty: the state is lost when the coordinator ends
	Admin        netip.AddrPort // not valid: there is no administration API
	Callers      []authz.Credential
	GroupStore   string // file of the group's durable state, if the coordinator is in a group
}

// admissionIgnored is the value of "levels" of proxies that cannot limit admission.
const admissionIgnored = "ignored"

var admissionModes = map[string]balancer.AdmissionMode{
	"fraction": balancer.AdmissionFraction,
	"rate":     balancer.AdmissionRate,
}

// LoadCoordinator reads a coordinator's settings file. The given guards are disabled, for tests of them.
func LoadCoordinator(path string, without ...controlplane.Guard) (*Coordinator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseCoordinator(path, text, without...)
}

// ParseCoordinator reads the text of a coordinator's settings file, like LoadCoordinator. The name is
// for error messages.
func ParseCoordinator(name string, text []byte, without ...controlplane.Guard) (*Coordinator, error) {
	return readDocument(name, text, "coordinator", func(root *node) (*Coordinator, error) {
		return readCoordinator(root, without)
	})
}

func readCoordinator(root *node, without []controlplane.Guard) (*Coordinator, error) {
	dec := newDecoder()
	config := dec.readSite(root, without)
	listen := root.one("listen")
	config.SASP = dec.endpoint(listen, "sasp")
	config.HTTP = dec.endpoint(listen, "http")
	config.Measurements = dec.endpoint(listen, "measurements")
	config.Metrics = dec.endpoint(listen, "metrics")
	if !config.SASP.IsValid() && !config.HTTP.IsValid() {
		dec.fail(listen, "neither sasp nor http: no proxy could join")
	}
	fleet := root.one("fleet")
	levels := fleet.attrs["levels"]
	if levels != admissionIgnored && config.SASP.IsValid() {
		config.Policy.MembersOnly = true
		if !config.HTTP.IsValid() {
			dec.fail(fleet, "levels=%q: SASP has no word for levels; with http they can be ordered", levels)
		}
	}
	config.Store = listen.attrs["store"]
	dec.readGroup(root.one("group"), config)
	config.Graphite = dec.readGraphite(root.one("graphite"))
	config.Admin = dec.endpoint(listen, "admin")
	config.Callers = dec.readCallers(root)
	if config.Admin.IsValid() && len(config.Callers) == 0 {
		dec.fail(listen, "admin without a caller: nobody could use it")
	}
	return config, dec.err()
}

// readSite reads the elements that the settings of a coordinator and of a tenant have in common.
func (d *decoder) readSite(root *node, without []controlplane.Guard) *Coordinator {
	config := &Coordinator{}
	config.Limits = saspsession.DefaultLimits
	config.LongPollHTTPLimits = longpollhttp.DefaultLimits
	config.LongPollLimits = longpoll.DefaultLimits
	site := &config.Site
	site.Seed = uint64(root.int("seed"))
	site.Limits = controlplane.DefaultLimits
	for _, guard := range without {
		if site.DisabledGuards == nil {
			site.DisabledGuards = map[controlplane.Guard]bool{}
		}
		site.DisabledGuards[guard] = true
	}
	site.Zones = d.readZones(root)
	for _, n := range root.all("class") {
		d.readClass(n, site)
	}
	readDataPlane(root.one("fleet"), site)
	d.readChannelAndGuarantees(root, site)
	reports := root.one("reports")
	site.Reporting = balancer.Reporting{Period: reports.number("period")}
	config.User = reports.attrs["user"]
	config.Key = reports.attrs["key"]
	d.checkCredentials(reports, config.User, config.Key)
	d.readServers(root.one("servers"), config)
	d.readProxies(root.one("relays"), site)
	d.readLimits(root.one("limits"), config)
	return config
}

// checkCredentials checks that load reports are signed with both a user and a key, or not at all.
func (d *decoder) checkCredentials(n *node, user, key string) {
	if (user == "") != (key == "") {
		d.fail(n, "user and key belong together")
	}
}

// String describes the settings in several lines.
func (c *Coordinator) String() string {
	var text strings.Builder
	writePorts(&text, c.ListenAddresses(), c.HTTP)
	if g := c.Group; g != nil {
		membership := "one of its first members"
		if g.Join {
			membership = "to be taken in by those that run"
		}
		fmt.Fprintf(&text, "number %d of a group of %d, %s; a lease of %g s, taken over %.1f s after a death; store %q\n",
			g.Self, len(g.Members), membership, g.Lease.Duration, g.Lease.ExpiryTimeout(), c.GroupStore)
	}
	if g := c.Graphite; g != nil {
		fmt.Fprintf(&text, "figures to %s each %g s, below %s; room for %d values while it is away\n",
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
	fmt.Fprintf(text, "channel: %g lines a second, %g may wait, %d messages to one relay in %g s\n",
		site.Channel.EntriesPerSecond, site.Channel.MaxQueued, site.Channel.MaxMessages, site.Channel.MessageWindow)
	fmt.Fprintf(text, "drains within %g s: a relay that has not taken one after %.2f s is cut off\n",
		site.Guarantees.DrainDeadline, site.Guarantees.DrainDeadline*site.Limits.DrainFraction)
	fmt.Fprintf(text, "limits: %d relays, %d servers, %d series, %d connections, %d bytes a message\n",
		site.Limits.MaxProxies, site.Limits.MaxServers, site.Limits.MaxSeries, c.Limits.MaxConnections,
		c.Limits.MaxMessageBytes)
}

// writePorts writes a line for each port that proxies and servers connect to.
func writePorts(text *strings.Builder, ports []netip.AddrPort, longPoll netip.AddrPort) {
	for _, port := range ports {
		protocol := "SASP"
		if port == longPoll {
			protocol = "long-poll HTTP"
		}
		fmt.Fprintf(text, "%s on %s\n", protocol, port)
	}
}
