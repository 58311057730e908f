package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/fairqueue"
	"snowquay/internal/core/tenancy"
)

// Host is the content of the settings file of a host of tenants.
type Host struct {
	coordinator.HostConfig
	Measurements netip.AddrPort // address on which load reports are received
	Metrics      netip.AddrPort // if not valid, no metrics are served
	Admin        netip.AddrPort
	Store        string // file of the store
	Callers      []authz.Credential
	GroupStore   string // file of the group's durable state; used only if the host is in a group
}

const bytesPerMegabyte = 1 << 20

// LoadHost reads a host's settings file.
func LoadHost(path string) (*Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseHost(path, text)
}

// ParseHost parses the text of a host's settings file. The name is used in error messages.
func ParseHost(name string, text []byte) (*Host, error) {
	return readDocument(name, text, "host", readHost)
}

func readHost(root *node) (*Host, error) {
	dec := newDecoder()
	host := &Host{}
	listen := root.firstChild("listen")
	host.SASP = dec.endpoint(listen, "sasp")
	host.HTTP = dec.endpoint(listen, "http")
	host.Measurements = dec.endpoint(listen, "measurements")
	host.Metrics = dec.endpoint(listen, "metrics")
	host.Admin = dec.endpoint(listen, "admin")
	host.Store = listen.attrs["store"]
	if !host.SASP.IsValid() && !host.HTTP.IsValid() {
		dec.addError(listen, "neither sasp nor http: no proxy could join")
	}
	host.Capacity = tenancy.DefaultCapacity
	host.Router = tenancy.DefaultRouterLimits
	host.Scheduler = fairqueue.DefaultConfig
	readCapacity(root.firstChild("room"), host)
	readRouterLimits(root.firstChild("entry"), host)
	c := &Coordinator{}
	dec.readGroup(root.firstChild("group"), c)
	host.Group = c.Group
	host.GroupStore = c.GroupStore
	host.Graphite = dec.readGraphite(root.firstChild("graphite"))
	host.Callers = dec.readCallers(root)
	return host, dec.err()
}

func readCapacity(n *node, h *Host) {
	if n == nil {
		return
	}
	capacity := &h.Capacity
	n.overrideNumber("lines-per-second", &capacity.EntriesPerSecond)
	n.overrideNumber("connections", &capacity.Connections)
	n.overrideNumber("work", &capacity.CPU)
	n.overrideNumber("work-times", &capacity.CPUOvercommit)
	if megabytes := n.number("megabytes"); megabytes > 0 {
		capacity.Memory = megabytes * bytesPerMegabyte
	}
	n.overrideInt("tenants", &capacity.MaxTenants)
	h.Scheduler.Rate = capacity.CPU
	h.Router.MaxTenants = capacity.MaxTenants
}

func readRouterLimits(n *node, h *Host) {
	if n == nil {
		return
	}
	n.overrideInt("strangers", &h.Router.Unidentified)
	n.overrideNumber("comes-per-second", &h.Router.AcceptRate)
	n.overrideNumber("comes-per-second", &h.Router.AcceptBurst)
	n.overrideNumber("silent-for", &h.Router.IdentifyTimeout)
}

// String returns a summary of the settings in several lines.
func (h *Host) String() string {
	var text strings.Builder
	writePorts(&text, h.ListenAddresses(), h.HTTP)
	fmt.Fprintf(&text, "administration on %s, measurements on %s, store %q\n", h.Admin, h.Measurements, h.Store)
	if g := h.Group; g != nil {
		fmt.Fprintf(&text, "member number %d of a group of %d hosts; lease of %g s, taken over %.1f s after a failure\n",
			g.Self, len(g.Members), g.Lease.Duration, g.Lease.ExpiryTimeout())
	}
	fmt.Fprintf(&text,
		"room for %d tenants: %.0f MB, %.0f lines per second, %.0f connections, %.2f of a core promised %g times\n",
		h.Capacity.MaxTenants, h.Capacity.Memory/bytesPerMegabyte, h.Capacity.EntriesPerSecond,
		h.Capacity.Connections, h.Capacity.CPU, h.Capacity.CPUOvercommit)
	return text.String()
}
