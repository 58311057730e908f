// Package settings reads the XML files of a coordinator and of a rehearsal's day. A file is taken whole or not at all:
// it is held against the schema first, then what the schema can't say is checked, and every error names its line and
// element.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/core/spool"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/frontend/longpollhttp"
)

// Coordinator is what a settings file says, ready to act.
type Coordinator struct {
	coordinator.Config
	Measurements netip.AddrPort
	Metrics      netip.AddrPort // not valid: none
	Store        string         // empty: nothing outlives the coordinator
	Admin        netip.AddrPort // not valid: none
	Callers      []authz.Credential
	GroupStore   string // file of what a coordinator that shares its fleet must not forget
}

// QueryMix is a class in a day.
type QueryMix struct {
	Class string
	Share float64
	Work  float64
}

// Fault of a day. Fields that a kind does not use are -1 or empty.
type Fault struct {
	Kind                         string
	At, For, Factor              float64
	Server, Relay, FailureDomain int
	Zone                         balancer.Zone
}

// Scenario is a rehearsal.
type Scenario struct {
	Coordinator      *Coordinator
	coordinator      *node
	Seconds          float64
	Seed             uint64
	Cores, Queue     int
	Slowest, Fastest float64
	Rate, Spread     float64
	Keys             int
	Queries          []QueryMix
	Split, Loss      float64
	Double, Late     float64
	Faults           []Fault
	Model            ServerModel
	Clients          ClientModel
}

// ServerModel is what servers of a day are like besides their speed. Zero values: nothing of it.
type ServerModel struct {
	Connections     int
	ConnWork        float64 // seconds on a core that a new connection costs
	KeyFor, KeyLess float64 // seconds for which a key is remembered, and the part of the work that this spares
	KeyMost         int
	Stops           bool // work ends when its query is given up
}

// ClientModel is what clients of a day are like.
type ClientModel struct {
	Popularity float64 // exponent of Zipf's law for keys
	Retries    int     // times that a client asks anew
	RetryWait  float64 // seconds before it does
	Patience   float64 // part of its client timeout after which it leaves
}

var (
	levelKinds = map[string]balancer.AdmissionMode{"fraction": balancer.AdmissionFraction, "rate": balancer.AdmissionRate}
	effects    = map[string]balancer.Idempotency{"free": balancer.Idempotent, "guarded": balancer.Keyed, "single-shot": balancer.NonIdempotent}
	groups     = map[string]balancer.DedupScope{"all": balancer.EveryServer, "zone": balancer.SameZone, "pod": balancer.SameFailureDomain}
	ways       = map[string]balancer.RetryPolicy{"none": balancer.RetryNever, "proof": balancer.RetryIfNotExecuted,
		"failure": balancer.RetryOnce, "twice": balancer.RetryTwice}
)

// LoadCoordinator reads a file; without names guards that are left out, for tests of them.
func LoadCoordinator(path string, without ...controlplane.Guard) (*Coordinator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseCoordinator(path, text, without...)
}

// ParseCoordinator reads a file's text; name is for its errors.
func ParseCoordinator(name string, text []byte, without ...controlplane.Guard) (*Coordinator, error) {
	root, err := load(text, "coordinator")
	if err != nil {
		return nil, named(name, err)
	}
	c, err := parseCoordinatorNode(root, without)
	return c, named(name, err)
}

// LoadScenario reads a day's file.
func LoadScenario(path string, without ...controlplane.Guard) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScenario(path, text, without...)
}

// ParseScenario reads a day's text.
func ParseScenario(name string, text []byte, without ...controlplane.Guard) (*Scenario, error) {
	root, err := load(text, "day")
	if err != nil {
		return nil, named(name, err)
	}
	d, err := day(root, without)
	return d, named(name, err)
}

var ours = sync.OnceValues(func() (*schema, error) { return readSchema(Schema) })

func load(text []byte, element string) (*node, error) {
	s, err := ours()
	if err != nil {
		return nil, err
	}
	root, err := parse(text)
	if err != nil {
		return nil, err
	}
	return root, s.validate(root, element)
}

func named(name string, err error) error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			_ = named(name, e)
		}
		return err
	}
	var e *Error
	if errors.As(err, &e) {
		e.File = name
	}
	return err
}

func (n *node) number(name string) float64 { // the schema has seen to it that it is one
	v, _ := strconv.ParseFloat(cmp.Or(n.attrs[name], "0"), 64)
	return v
}

func (n *node) int(name string) int { return int(n.number(name)) }

func (n *node) bool(name string) bool { return n.attrs[name] == "true" || n.attrs[name] == "1" }

// reader collects what the schema can't say.
type reader struct {
	errs  []error
	zones map[string]balancer.Zone
}

func (r *reader) wrong(n *node, format string, args ...any) {
	r.errs = append(r.errs, n.wrong(format, args...))
}

func (r *reader) endpoint(n *node, name string) netip.AddrPort {
	v := n.attrs[name]
	if v == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.wrong(n, "%s: %v", name, err)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (r *reader) zone(n *node, name string) balancer.Zone {
	z, ok := r.zones[n.attrs[name]]
	if !ok {
		r.wrong(n, "%s: no zone is named %q", name, n.attrs[name])
	}
	return z
}

func parseCoordinatorNode(root *node, without []controlplane.Guard) (*Coordinator, error) {
	r := &reader{zones: map[string]balancer.Zone{}}
	c := r.basis(root, without)
	l := root.one("listen")
	c.SASP, c.HTTP = r.endpoint(l, "sasp"), r.endpoint(l, "http")
	c.Measurements, c.Metrics = r.endpoint(l, "measurements"), r.endpoint(l, "metrics")
	if !c.SASP.IsValid() && !c.HTTP.IsValid() {
		r.wrong(l, "neither sasp nor http: no proxy could join")
	}
	if levels := root.one("fleet").attrs["levels"]; levels != "ignored" && c.SASP.IsValid() {
		if c.Policy.MembersOnly = true; !c.HTTP.IsValid() {
			r.wrong(root.one("fleet"), "levels=%q: SASP has no word for levels; with http they can be ordered", levels)
		}
	}
	c.Store = l.attrs["store"]
	r.group(root.one("group"), c)
	c.Graphite = r.graphite(root.one("graphite"))
	c.Admin = r.endpoint(l, "admin")
	if r.callers(root, c); c.Admin.IsValid() && len(c.Callers) == 0 {
		r.wrong(l, "admin without a caller: nobody could use it")
	}
	return c, errors.Join(r.errs...)
}

// basis reads what a coordinator of its own and one of a tenant have in common.
func (r *reader) basis(root *node, without []controlplane.Guard) *Coordinator {
	c := &Coordinator{}
	s := &c.Site
	s.Seed, s.Limits, c.Limits = uint64(root.int("seed")), controlplane.DefaultLimits, saspsession.DefaultLimits
	for _, g := range without {
		if s.DisabledGuards == nil {
			s.DisabledGuards = map[controlplane.Guard]bool{}
		}
		s.DisabledGuards[g] = true
	}
	for i, z := range root.all("zone") {
		name := z.attrs["name"]
		if _, twice := r.zones[name]; twice {
			r.wrong(z, "there are two zones named %q", name)
		}
		r.zones[name] = balancer.Zone(i)
		s.Zones = append(s.Zones, name)
	}
	for _, n := range root.all("class") {
		r.class(n, s)
	}
	r.fleet(root, s)
	c.LongPollHTTPLimits, c.LongPollLimits = longpollhttp.DefaultLimits, longpoll.DefaultLimits
	if levels := root.one("fleet").attrs["levels"]; levels != "ignored" {
		s.DataPlane.Admission = levelKinds[levels]
	}
	rep := root.one("reports")
	s.Reporting = balancer.Reporting{Period: rep.number("period")}
	c.User, c.Key = rep.attrs["user"], rep.attrs["key"]
	if (c.User == "") != (c.Key == "") {
		r.wrong(rep, "user and key belong together")
	}
	r.servers(root.one("servers"), c)
	r.relays(root.one("relays"), s)
	r.limits(root.one("limits"), c)
	return c
}

// group reads with whom a coordinator shares its fleet; nil: with nobody.
func (r *reader) group(n *node, c *Coordinator) {
	if n == nil {
		return
	}
	g := &coordinator.GroupConfig{Self: membership.MemberID(n.int("number")), Weight: n.number("weight"), Join: n.bool("joins"),
		Members: map[membership.MemberID]netip.AddrPort{}, Key: []byte(n.attrs["key"]), Consensus: consensus.DefaultConfig,
		Lease: membership.DefaultLeaseConfig}
	seen := map[netip.AddrPort]bool{}
	for _, p := range n.all("peer") {
		number, a := membership.MemberID(p.int("number")), r.endpoint(p, "address")
		if _, twice := g.Members[number]; twice {
			r.wrong(p, "there are two peers with number %d", number)
		}
		if seen[a] {
			r.wrong(p, "there are two peers at %s", a)
		}
		g.Members[number], seen[a] = a, true
	}
	if _, ok := g.Members[g.Self]; !ok {
		r.wrong(n, "number %d is none of the peers; the coordinator itself is one of them", g.Self)
	}
	if len(g.Key) < leastKey {
		r.wrong(n, "key: %d bytes, %d at least: whoever has it may speak for a coordinator", len(g.Key), leastKey)
	}
	if v := n.number("lease"); v > 0 {
		g.Lease.Duration, g.Lease.RenewInterval = v, v/membership.RenewalsPerLease
	}
	if v := n.number("margin"); v > 0 {
		g.Lease.SafetyMargin = v
	}
	if n.attrs["drift"] != "" {
		g.Lease.MaxClockDrift = n.number("drift")
	}
	if least := 4 * g.Consensus.ElectionTimeout; g.Lease.Duration < least {
		r.wrong(n, "lease: %g s, %g at least: an election may take half of that", g.Lease.Duration, least)
	}
	if g.Lease.MaxClockDrift >= 0.5 {
		r.wrong(n, "drift: clocks that run apart by a half are no clocks")
	}
	c.Group, c.GroupStore = g, n.attrs["store"]
	d := &c.Site.DataPlane
	d.Coordinators = len(g.Members)
	for number := range g.Members {
		if number < g.Self {
			d.Self++
		}
	}
}

var graphitePrefix = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

// graphite reads where figures are sent; nil: nowhere.
func (r *reader) graphite(n *node) *graphite.Config {
	if n == nil {
		return nil
	}
	g := &graphite.Config{To: r.endpoint(n, "address"), Prefix: n.attrs["prefix"], Interval: n.number("every"), MaxSeries: graphite.DefaultMaxSeries,
		Spool: spool.DefaultConfig}
	if !graphitePrefix.MatchString(g.Prefix) {
		r.wrong(n, "prefix %q: parts of letters, digits, _ and -, with dots between them", g.Prefix)
	}
	for name, to := range map[string]*int{"series": &g.MaxSeries, "values": &g.Spool.MaxValues} {
		if v := n.int(name); v > 0 {
			*to = v
		}
	}
	if v := n.number("per-second"); v > 0 {
		g.Spool.MaxRate = v
	}
	if n.attrs["overlap"] != "" {
		g.Spool.Overlap = n.number("overlap")
	}
	return g
}

const leastKey = 16 // bytes of a group's key, or a caller's

var roles = map[string]authz.Role{"viewer": authz.RoleViewer, "staff": authz.RoleStaff, "host": authz.RoleHost}

// callers reads who may use the administration API.
func (r *reader) callers(root *node, c *Coordinator) {
	for _, n := range root.all("caller") {
		x := authz.Credential{Principal: authz.Principal{Name: n.attrs["name"], Role: roles[n.attrs["role"]]}, Secret: n.attrs["key"]}
		if len(x.Secret) < leastKey {
			r.wrong(n, "key: %d bytes, %d at least", len(x.Secret), leastKey)
		}
		for _, o := range c.Callers {
			if strings.EqualFold(o.Name, x.Name) || o.Secret == x.Secret {
				r.wrong(n, "there are two callers named %q, or with one key", x.Name)
			}
		}
		c.Callers = append(c.Callers, x)
	}
}

func (r *reader) class(n *node, s *controlplane.Site) {
	q := balancer.RequestClass{PriorityWeight: n.number("benefit"), LateWeight: n.number("late-benefit"),
		LatencyObjective: n.number("goal-time"), ClientTimeout: n.number("client-timeout"), Idempotency: effects[n.attrs["effect"]],
		DedupScope: groups[n.attrs["same"]], DedupWindow: n.number("window"), ZoneLocal: n.bool("own-zone"), Writes: n.bool("writes")}
	if slices.Contains(s.ClassNames, n.attrs["name"]) {
		r.wrong(n, "there are two classes named %q", n.attrs["name"])
	}
	if q.LatencyObjective > q.ClientTimeout {
		r.wrong(n, "the goal time is longer than the client timeout")
	}
	if q.Idempotency == balancer.Keyed && q.DedupWindow == 0 {
		r.wrong(n, "a guarded class needs a window")
	}
	for _, z := range strings.Fields(n.attrs["zones"]) {
		zone, ok := r.zones[z]
		if !ok {
			r.wrong(n, "zones: no zone is named %q", z)
		}
		q.AllowedZones = append(q.AllowedZones, zone)
	}
	slices.Sort(q.AllowedZones)
	s.ClassNames, s.Classes = append(s.ClassNames, n.attrs["name"]), append(s.Classes, q)
	s.RetryPolicies = append(s.RetryPolicies, controlplane.SafeRetryPolicy(q, ways[n.attrs["repeats"]], s.DisabledGuards))
}

func (r *reader) fleet(root *node, s *controlplane.Site) {
	f, c, g := root.one("fleet"), root.one("channel"), root.one("rules")
	usual := balancer.RetryTwice
	for _, way := range s.RetryPolicies {
		usual = min(usual, way)
	}
	s.DataPlane = balancer.DataPlane{Proxies: f.int("relays"), Coordinators: 1, DefaultTableSize: f.int("standing"),
		EjectAfterFailures: f.int("eject-after"), DefaultRetry: usual, MinConnections: f.number("least-connections"),
		Admission: balancer.AdmissionIgnored} // SASP has no word for them
	s.Channel = balancer.Channel{EntriesPerSecond: c.number("lines-per-second"), MessageOverhead: c.number("message-lines"),
		MaxQueued: c.number("most-waiting"), MeanDelay: c.number("mean-way"), MaxDelay: c.number("longest-way"),
		MaxMessages: c.int("most-messages"), MessageWindow: c.number("message-window")}
	s.Guarantees = balancer.Guarantees{DrainDeadline: g.number("drain-within"), EmptyTableDeadline: g.number("bare-within"),
		WarmupStartFraction: g.number("cold-share"), WarmupDuration: g.number("cold-for"), OverloadFactor: g.number("fall-multiple"),
		OverloadWindow: g.number("fall-within")}
	if s.Channel.MaxDelay < s.Channel.MeanDelay {
		r.wrong(c, "the longest way is shorter than the mean way")
	}
	if s.Channel.MaxDelay >= s.Guarantees.DrainDeadline {
		r.wrong(g, "a drain can't be kept: an order may take %v s to arrive", s.Channel.MaxDelay)
	}
	if most := s.Channel.MaxMessages; most > 0 && most <= 5 {
		r.wrong(c, "most-messages: 6 at least, five are kept for bursts, joins and what is late")
	}
}

func (r *reader) servers(n *node, c *Coordinator) {
	c.Policy = saspsession.Policy{FleetUID: n.attrs["uid"], AnyAgent: n.attrs["agents"] == "any",
		AllowUnlisted: n.attrs["register"] != "listed", BalancersRegister: n.attrs["register"] == "balancers"}
	if h := n.number("hold"); h > 0 {
		c.Site.Limits.ServerHold = h
	}
	seen := map[balancer.Server]int{}
	for _, k := range n.all("server") {
		a := r.endpoint(k, "address")
		if v := k.number("capacity"); v > 0 {
			if c.Site.Pools == nil {
				c.Site.Pools = map[balancer.Server]controlplane.PoolCapacity{}
			}
			c.Site.Pools[balancer.Server(a.String())] = controlplane.PoolCapacity{Pool: k.attrs["pool"], Capacity: v}
		}
		s := balancer.Server(a.String())
		if line := seen[s]; line > 0 {
			r.wrong(k, "%s is listed already, in line %d", s, line)
		}
		seen[s] = k.line
		c.Site.Servers = append(c.Site.Servers, registry.ServerConfig{Server: s, Zone: r.zone(k, "zone"), Kind: balancer.Kind(k.int("kind")),
			FailureDomain: balancer.FailureDomain(k.int("pod")), Weight: k.number("weight"), Static: k.bool("standing")})
	}
}

func (r *reader) relays(n *node, s *controlplane.Site) {
	s.AllowUnlisted = n.bool("strangers")
	if n.attrs["stranger-zone"] != "" {
		s.UnlistedZone = r.zone(n, "stranger-zone")
	}
	seen := map[string]int{}
	for _, k := range n.all("relay") {
		uid := k.attrs["uid"]
		if line := seen[uid]; line > 0 {
			r.wrong(k, "relay %q is listed already, in line %d", uid, line)
		}
		seen[uid] = k.line
		s.Proxies = append(s.Proxies, controlplane.ProxyConfig{UID: uid, Zone: r.zone(k, "zone"), ExpectedRate: k.number("usual")})
	}
	if !s.AllowUnlisted && len(s.Proxies) == 0 {
		r.wrong(n, "no relay may join: none is listed, and strangers may not")
	}
}

func (r *reader) limits(n *node, c *Coordinator) {
	if n == nil {
		return
	}
	set := func(name string, to *int) {
		if v := n.int(name); v > 0 {
			*to = v
		}
	}
	f := &c.Site.Limits
	set("relays", &f.MaxProxies)
	set("servers", &f.MaxServers)
	set("series", &f.MaxSeries)
	set("connections", &c.Limits.MaxConnections)
	set("message-bytes", &c.Limits.MaxMessageBytes)
	set("buffered-bytes", &c.Limits.MaxBuffered)
	set("unread-bytes", &c.Limits.MaxUnread)
	if v := n.number("silent-for"); v > 0 {
		c.Limits.IdentifyTimeout = v
	}
	if v := n.number("stall-for"); v > 0 {
		f.StallTimeout = v
	}
	if len(c.Site.Servers) > f.MaxServers {
		r.wrong(n, "servers: %d are listed", len(c.Site.Servers))
	}
	if len(c.Site.Proxies) > f.MaxProxies {
		r.wrong(n, "relays: %d are listed", len(c.Site.Proxies))
	}
}

func day(root *node, without []controlplane.Guard) (*Scenario, error) {
	c, err := parseCoordinatorNode(root.one("coordinator"), without)
	if err != nil {
		return nil, err
	}
	r := &reader{zones: map[string]balancer.Zone{}}
	for i, z := range c.Site.Zones {
		r.zones[z] = balancer.Zone(i)
	}
	d := &Scenario{Coordinator: c, coordinator: root.one("coordinator"), Seconds: root.number("seconds"), Seed: uint64(root.int("seed"))}
	m, q := root.one("servers"), root.one("queries")
	d.Cores, d.Queue, d.Slowest, d.Fastest = m.int("cores"), m.int("queue"), m.number("slowest"), m.number("fastest")
	if d.Slowest > d.Fastest {
		r.wrong(m, "the slowest is faster than the fastest")
	}
	d.Rate, d.Spread, d.Keys = q.number("rate"), q.number("spread"), q.int("keys")
	d.Model = ServerModel{Connections: m.int("connections"), ConnWork: m.number("connection-work"), KeyFor: m.number("key-for"),
		KeyLess: m.number("key-less"), KeyMost: m.int("key-most"), Stops: m.bool("stops")}
	d.Clients = ClientModel{Popularity: q.number("popularity"), Retries: q.int("again"), RetryWait: q.number("wait"), Patience: q.number("patience")}
	sum := 0.0
	for _, k := range q.all("query") {
		if !slices.Contains(c.Site.ClassNames, k.attrs["class"]) {
			r.wrong(k, "no class is named %q", k.attrs["class"])
		}
		d.Queries = append(d.Queries, QueryMix{k.attrs["class"], k.number("share"), k.number("work")})
		sum += k.number("share")
	}
	if sum < 0.999 || sum > 1.001 {
		r.wrong(q, "the shares add up to %v", sum)
	}
	if n := root.one("net"); n != nil {
		d.Split, d.Loss, d.Double, d.Late = n.number("split"), n.number("loss"), n.number("double"), n.number("late")
	}
	for _, n := range root.all("trouble") {
		r.trouble(n, d)
	}
	return d, errors.Join(r.errs...)
}

// needs tells which field names the place of a kind of trouble.
var needs = map[string]string{"slow": "server", "fast_errors": "server", "hang": "server", "crash": "server", "answer_lost": "server",
	"heavy_tail": "server", "ageing": "server", "conn_squeeze": "server", "vanish": "server", "shared_slow": "pod", "false_reports": "relay",
	"drain": "server", "mass_restart": "pod", "zone_cut": "zone", "balancer_stall": "relay", "balancer_restart": "relay",
	"balancer_deaf": "relay", "reconnect": "relay"}

func (r *reader) trouble(n *node, d *Scenario) {
	t := Fault{Kind: n.attrs["kind"], At: n.number("at"), For: n.number("for"), Factor: n.number("factor"),
		Server: -1, Relay: -1, FailureDomain: -1, Zone: -1}
	field := needs[t.Kind]
	if field != "" && n.attrs[field] == "" {
		r.wrong(n, "%s needs a %s", t.Kind, field)
	}
	most := func(name string, to *int, count int) {
		if n.attrs[name] == "" {
			return
		}
		if *to = n.int(name); *to >= count {
			r.wrong(n, "%s %d: there are %d, from 0", name, *to, count)
		}
	}
	most("server", &t.Server, len(d.Coordinator.Site.Servers))
	most("relay", &t.Relay, len(d.Coordinator.Site.Proxies))
	if n.attrs["pod"] != "" {
		t.FailureDomain = n.int("pod")
		if !slices.ContainsFunc(d.Coordinator.Site.Servers, func(p registry.ServerConfig) bool { return int(p.FailureDomain) == t.FailureDomain }) {
			r.wrong(n, "no server is of pod %d", t.FailureDomain)
		}
	}
	if n.attrs["zone"] != "" {
		t.Zone = r.zone(n, "zone")
	}
	if t.At > d.Seconds {
		r.wrong(n, "it comes after the day's end")
	}
	d.Faults = append(d.Faults, t)
}

// String says how the settings will act.
func (c *Coordinator) String() string {
	var b strings.Builder
	s := &c.Site
	for _, a := range c.Ports() {
		name := "SASP"
		if a == c.HTTP {
			name = "long-poll HTTP"
		}
		fmt.Fprintf(&b, "%s on %s\n", name, a)
	}
	if g := c.Group; g != nil {
		how := "one of its first members"
		if g.Join {
			how = "to be taken in by those that run"
		}
		fmt.Fprintf(&b, "number %d of a group of %d, %s; a lease of %g s, taken over %.1f s after a death; store %q\n", g.Self,
			len(g.Members), how, g.Lease.Duration, g.Lease.ExpiryTimeout(), c.GroupStore)
	}
	if g := c.Graphite; g != nil {
		fmt.Fprintf(&b, "figures to %s each %g s, below %s; room for %d values while it is away\n", g.To, g.Interval, g.Prefix, g.Spool.MaxValues)
	}
	fmt.Fprintf(&b, "measurements on %s (signed: %t), store %q\n", c.Measurements, c.Key != "", c.Store)
	for i, q := range s.Classes {
		fmt.Fprintf(&b, "class %s: benefit %g, goal time %g s, client timeout %g s, repeats %s\n", s.ClassNames[i], q.PriorityWeight,
			q.LatencyObjective, q.ClientTimeout, nameOf(ways, s.RetryPolicies[i]))
	}
	fmt.Fprintf(&b, "%d servers listed, %d relays listed (strangers: %t), %d zones\n", len(s.Servers), len(s.Proxies),
		s.AllowUnlisted, len(s.Zones))
	fmt.Fprintf(&b, "channel: %g lines a second, %g may wait, %d messages to one relay in %g s\n", s.Channel.EntriesPerSecond,
		s.Channel.MaxQueued, s.Channel.MaxMessages, s.Channel.MessageWindow)
	fmt.Fprintf(&b, "drains within %g s: a relay that has not taken one after %.2f s is cut off\n", s.Guarantees.DrainDeadline,
		s.Guarantees.DrainDeadline*s.Limits.DrainFraction)
	fmt.Fprintf(&b, "limits: %d relays, %d servers, %d series, %d connections, %d bytes a message\n", s.Limits.MaxProxies,
		s.Limits.MaxServers, s.Limits.MaxSeries, c.Limits.MaxConnections, c.Limits.MaxMessageBytes)
	return b.String()
}

func nameOf[V comparable](names map[string]V, v V) string {
	for n, x := range names {
		if x == v {
			return n
		}
	}
	return "?"
}
