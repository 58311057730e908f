package settings

import (
	"math"
	"net/netip"
	"os"
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/outlier"
	"snowquay/internal/core/picker"
	"snowquay/internal/core/retry"
	"snowquay/internal/proxy"
)

// Proxy is the content of a proxy's settings file.
type Proxy struct {
	proxy.Config
	Listen       netip.AddrPort // address on which clients are served
	Metrics      netip.AddrPort // if not valid, no metrics are served
	SnapshotPath string         // file of the table snapshot; if empty, no snapshot is stored
}

// LoadProxy reads a proxy's settings file.
func LoadProxy(path string) (*Proxy, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseProxy(path, text)
}

// ParseProxy parses the text of a proxy's settings file. The name is used in error messages.
func ParseProxy(name string, text []byte) (*Proxy, error) {
	return readDocument(name, text, "proxy", readProxy)
}

func readProxy(root *node) (*Proxy, error) {
	dec := newDecoder()
	dec.readZones(root)
	site := &controlplane.Site{}
	for _, n := range root.childrenNamed("class") {
		dec.readClass(n, site)
	}
	config := &Proxy{}
	listen := root.firstChild("listen")
	config.UID = root.attrs["uid"]
	config.Listen = dec.endpoint(listen, "clients")
	config.Metrics = dec.endpoint(listen, "metrics")
	config.SnapshotPath = listen.attrs["store"]
	config.Seed = uint64(root.int("seed"))
	forwarding := &config.Forwarding
	forwarding.ClassNames = site.ClassNames
	forwarding.Classes = site.Classes
	forwarding.RetryPolicies = site.RetryPolicies
	forwarding.AdmissionMode = admissionModes[root.attrs["levels"]]
	forwarding.Limits = admission.DefaultLimits
	forwarding.Outliers = outlier.DefaultConfig
	forwarding.Budget = retry.DefaultBudget
	forwarding.NewTable = tableConstructor(root.attrs["pick"], config.Seed)
	dec.readRoutes(root, config)
	dec.readProxyServers(root, config)
	dec.readProxyCoordinators(root.firstChild("coordinators"), config)
	if len(config.DefaultServers) == 0 && len(config.Coordinators) == 0 {
		dec.addError(root, "neither coordinators nor a server with standing: requests could not be forwarded to any server")
	}
	readRetries(root.firstChild("repeats"), config)
	readOutliers(root.firstChild("avoid"), config)
	readProxyLimits(root.firstChild("limits"), config)
	return config, dec.err()
}

// tableConstructor returns a function that creates the picker of a class, for the given picking algorithm.
func tableConstructor(algorithm string, seed uint64) func(class int) picker.Table {
	return func(class int) picker.Table {
		if algorithm == "random" {
			return picker.NewWeightedRandom(seed + uint64(class))
		}
		return picker.NewEarliestDeadlineFirst(seed + uint64(class))
	}
}

func (d *decoder) readRoutes(root *node, config *Proxy) {
	for _, n := range root.childrenNamed("route") {
		class := slices.Index(config.Forwarding.ClassNames, n.attrs["class"])
		if class < 0 {
			d.addError(n, "no class is named %q", n.attrs["class"])
		}
		prefix := n.attrs["path"]
		if !strings.HasPrefix(prefix, "/") {
			d.addError(n, "path %q does not start with /", prefix)
		}
		if slices.ContainsFunc(config.Routes, func(other proxy.Route) bool { return other.Prefix == prefix }) {
			d.addError(n, "there are two routes for %q", prefix)
		}
		config.Routes = append(config.Routes, proxy.Route{Prefix: prefix, Class: balancer.Class(class)})
	}
}

func (d *decoder) readProxyServers(root *node, config *Proxy) {
	locations := map[balancer.Server]retry.Location{}
	for _, n := range root.childrenNamed("server") {
		server := balancer.Server(d.endpoint(n, "address").String())
		if _, duplicate := locations[server]; duplicate {
			d.addError(n, "%s is already listed", server)
		}
		locations[server] = retry.Location{
			Server:        server,
			Zone:          d.zone(n, "zone"),
			FailureDomain: balancer.FailureDomain(n.int("pod")),
		}
		if n.bool("standing") {
			config.DefaultServers = append(config.DefaultServers, server)
		}
	}
	config.Forwarding.Locations = locations
}

func (d *decoder) readProxyCoordinators(n *node, config *Proxy) {
	if n == nil {
		return
	}
	for _, element := range n.childrenNamed("coordinator") {
		config.Coordinators = append(config.Coordinators, d.endpoint(element, "address"))
	}
	config.SASP = n.attrs["speak"] == "sasp"
	config.CollectorPort = uint16(n.int("reports"))
	config.ReportInterval = n.number("period")
	config.User = n.attrs["user"]
	config.Key = n.attrs["key"]
	d.checkCredentials(n, config.User, config.Key)
	if n.int("reports") > math.MaxUint16 {
		d.addError(n, "reports: not a valid port")
	}
}

func readRetries(n *node, config *Proxy) {
	if n == nil {
		return
	}
	config.Forwarding.Budget = retry.Budget{Ratio: n.number("part"), Burst: n.number("burst")}
	config.Forwarding.HedgeAfter = n.number("hedge-after")
}

func readOutliers(n *node, config *Proxy) {
	if n == nil {
		return
	}
	config.Forwarding.Outliers = outlier.Config{
		ConsecutiveFailures: n.int("after"),
		BaseEjection:        n.number("for"),
		MaxEjection:         n.number("most"),
	}
}

func readProxyLimits(n *node, config *Proxy) {
	config.Limits = proxy.DefaultLimits
	if n == nil {
		return
	}
	n.overrideInt("clients", &config.Limits.MaxClients)
	n.overrideInt("queries", &config.Forwarding.Limits.MaxInFlight)
	n.overrideInt("by-server", &config.Forwarding.Limits.MaxPerServer)
	n.overrideInt("kept", &config.Limits.MaxIdlePerServer)
	n.overrideInt("head-bytes", &config.Limits.HTTP.Head)
	n.overrideInt("body-bytes", &config.Limits.HTTP.Body)
	n.overrideInt("buffered-bytes", &config.Limits.MaxBuffered)
	n.overrideNumber("silent-for", &config.Limits.IdleTimeout)
}
