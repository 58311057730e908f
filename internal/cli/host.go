package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"

	"snowquay/internal/console"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/scenario"
	"snowquay/internal/service"
	"snowquay/internal/settings"
)

type hostCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of the host (XML)."`
	Check    bool   `help:"Only say what is wrong with it, or how it will act."`
}

func (h *hostCommand) Run(e *env) error {
	c, err := settings.LoadHost(h.Settings)
	if err != nil {
		return err
	}
	if h.Check {
		_, err = fmt.Fprint(e.out, c)
		return err
	}
	return service.ServeHost(c, e.log, ended())
}

type tenants struct {
	List    tenantList    `cmd:"" help:"All tenants, whether they run, and what they take."`
	Show    tenantShow    `cmd:"" help:"One tenant: its settings without keys, servers, relays, or changes."`
	Put     tenantPut     `cmd:"" help:"Make a tenant, or change its settings."`
	Remove  tenantRemove  `cmd:"" help:"Remove a tenant for good."`
	Check   tenantCheck   `cmd:"" help:"Say what is wrong with a tenant's settings, by line and element, or what it would take of a host."`
	Server  tenantServer  `cmd:"" help:"Add, change or remove one server of a tenant's settings."`
	Drain   tenantDrain   `cmd:"" help:"Order a drain, or its end, and follow it."`
	Explain tenantExplain `cmd:"" help:"Say why a relay's latest orders were given, and when it held them."`
}

// atHost is what all commands about tenants need.
type atHost struct {
	Host   string `arg:"" type:"existingfile" help:"Settings file of the host (XML)."`
	Tenant string `arg:"" help:"Name of the tenant."`
}

func (a *atHost) call(e *env, needs authz.Role, method, path string, body any) error {
	b, err := a.ask(needs, method, path, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "%s\n", b)
	return err
}

func (a *atHost) ask(needs authz.Role, method, path string, body any) (json.RawMessage, error) {
	c, err := settings.LoadHost(a.Host)
	if err != nil {
		return nil, err
	}
	if _, err := tenancy.ParseName(a.Tenant); err != nil {
		return nil, err
	}
	return service.CallHostAdmin(c, needs, method, "/v1/tenants/"+a.Tenant+path, body)
}

type tenantList struct {
	Host string `arg:"" type:"existingfile" help:"Settings file of the host (XML)."`
}

func (l *tenantList) Run(e *env) error {
	c, err := settings.LoadHost(l.Host)
	if err != nil {
		return err
	}
	b, err := service.CallHostAdmin(c, authz.RoleViewer, "GET", "/v1/tenants", nil)
	if err != nil {
		return err
	}
	var rows []struct {
		Name    string  `json:"name"`
		Wrong   string  `json:"wrong"`
		Version uint64  `json:"version"`
		Weight  float64 `json:"weight"`
		Work    float64 `json:"work"`
		Longest float64 `json:"longest"`
		Runs    bool    `json:"runs"`
		Servers int     `json:"servers"`
		Relays  int     `json:"relays"`
		Newest  int     `json:"newest"`
	}
	if err := json.Unmarshal(b, &rows); err != nil {
		return err
	}
	for _, r := range rows {
		state := "runs"
		if !r.Runs {
			state = "does not run"
		}
		if r.Wrong != "" {
			state += ": " + r.Wrong
		}
		console.Printf(e.out, "%-24s version %d, %s; %d servers, %d of %d relays hold the newest tables; %.2f s of work, waited %.0f ms at most\n",
			r.Name, r.Version, state, r.Servers, r.Newest, r.Relays, r.Work, r.Longest*1000)
	}
	return nil
}

type tenantShow struct {
	atHost
	What string `arg:"" optional:"" help:"state, settings, servers, relays or audit." enum:"state,settings,servers,relays,audit" default:"state"`
}

func (s *tenantShow) Run(e *env) error {
	path, needs := "/"+s.What, authz.RoleViewer
	switch s.What {
	case "state":
		path = ""
	case "settings", "audit":
		needs = authz.RoleStaff
	}
	return s.call(e, needs, "GET", path, nil)
}

type tenantPut struct {
	atHost
	Settings string `arg:"" type:"existingfile" help:"Settings file of the tenant (XML)."`
	DryRun   bool   `help:"Only say what would follow."`
	Force    bool   `help:"Also where it would do harm."`
}

func (p *tenantPut) Run(e *env) error {
	text, err := os.ReadFile(p.Settings)
	if err != nil {
		return err
	}
	q := url.Values{}
	if p.DryRun {
		q.Set("dry-run", "true")
	}
	if p.Force {
		q.Set("force", "true")
	}
	return p.call(e, authz.RoleHost, "PUT", "?"+q.Encode(), text)
}

type tenantRemove struct {
	atHost
	Force bool `help:"Also while relays are joined: they go on by the tables that they hold."`
}

func (r *tenantRemove) Run(e *env) error {
	return r.call(e, authz.RoleHost, "DELETE", fmt.Sprintf("?force=%t", r.Force), nil)
}

type tenantCheck struct {
	Host     string `arg:"" type:"existingfile" help:"Settings file of the host (XML)."`
	Tenant   string `arg:"" help:"Name of the tenant."`
	Settings string `arg:"" type:"existingfile" help:"Settings file of the tenant (XML)."`
}

func (c *tenantCheck) Run(e *env) error {
	h, err := settings.LoadHost(c.Host)
	if err != nil {
		return err
	}
	name, err := tenancy.ParseName(c.Tenant)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	m, err := settings.ParseTenant(name, text, h)
	if err != nil {
		return err
	}
	s := &m.Config.Site
	_, err = fmt.Fprintf(e.out, "tenant %s: %d classes, %d servers, %d relays listed; weight %g\ntakes at most %.1f MB, %.0f lines a second, %.0f connections, %.4f of a core\n",
		name, len(s.Classes), len(s.Servers), len(s.Proxies), m.Weight, m.Requirements.Memory/(1<<20), m.Requirements.EntriesPerSecond, m.Requirements.Connections, m.Requirements.CPU)
	return err
}

type tenantServer struct {
	atHost
	Server   string  `arg:"" help:"Address and port."`
	Remove   bool    `help:"Take it out of the settings."`
	Zone     string  `help:"Its zone; a new server needs one."`
	Pod      *int    `help:"Its pod."`
	Weight   float64 `help:"Its listed weight."`
	Capacity float64 `help:"Queries a second that it can take when it is warm."`
	Standing *bool   `help:"It is in service without registering."`
	Force    bool    `help:"Also where it would do harm."`
}

func (s *tenantServer) Run(e *env) error {
	return s.call(e, authz.RoleStaff, "POST", fmt.Sprintf("/servers?force=%t", s.Force), settings.ServerEdit{Server: s.Server, Remove: s.Remove, Zone: s.Zone, FailureDomain: s.Pod,
		Weight: s.Weight, Capacity: s.Capacity, Static: s.Standing})
}

type tenantDrain struct {
	atHost
	Server   string  `arg:"" help:"Address and port."`
	End      bool    `help:"End the drain."`
	Force    bool    `help:"Also where it would do harm."`
	LoseZone bool    `help:"Refuse it also where it would do harm if any one zone were lost."`
	Follow   float64 `help:"Seconds to wait until no relay sends to it any more." default:"10"`
}

func (d *tenantDrain) Run(e *env) error {
	b, err := d.ask(authz.RoleStaff, "POST", "/drains", map[string]any{"server": d.Server, "on": !d.End, "force": d.Force, "lose-zone": d.LoseZone})
	if err == nil && !d.End && d.Follow > 0 {
		b, err = d.ask(authz.RoleViewer, "GET", fmt.Sprintf("/drains/%s?wait=%g", service.Escape(d.Server), d.Follow), nil)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "%s\n", b)
	return err
}

type tenantExplain struct {
	atHost
	Relay string `arg:"" help:"What the tenant calls the relay."`
	Most  int    `help:"How many orders." default:"5"`
}

func (x *tenantExplain) Run(e *env) error {
	b, err := x.ask(authz.RoleViewer, "GET", "/orders?relay="+url.QueryEscape(x.Relay), nil)
	if err != nil {
		return err
	}
	return explained(e, b, x.Relay, x.Most)
}

type hostedDay struct {
	Tenants int     `help:"How many." default:"20"`
	Servers int     `help:"Of each." default:"4"`
	Relays  int     `help:"Of each." default:"4"`
	Seconds float64 `help:"How long it lasts." default:"30"`
	Rate    float64 `help:"Queries a second of each." default:"24"`
	Seed    uint64  `default:"1" help:"Of chance."`
	Flood   int     `help:"Number of the tenant that floods the host; -1: none." default:"-1"`
	Drains  bool    `help:"Each has a server drained."`
	Hosts   int     `help:"That share the tenants; more than one in virtual time only." default:"1"`
	Kills   int     `help:"How many times one of the hosts is killed."`
	Restart float64 `help:"Second at which the host is killed; 0: it is not." default:"0"`
	Remove  int     `help:"Number of the tenant that is removed, and made again; -1: none." default:"-1"`
	Virtual bool    `help:"In virtual time instead of over loopback sockets."`
}

func (h *hostedDay) Run(e *env) error {
	if h.Hosts > 1 && !h.Virtual {
		return errors.New("several hosts are rehearsed in virtual time only, with --virtual")
	}
	if !h.Virtual {
		console.Printf(e.out, "playing %g s over loopback sockets ...\n", h.Seconds)
	}
	r, err := scenario.RunHosted(scenario.HostedScenario{Tenants: h.Tenants, Servers: h.Servers, Relays: h.Relays, Seconds: h.Seconds, Seed: h.Seed,
		Sockets: !h.Virtual, Hosts: h.Hosts, Kills: h.Kills, Only: -1, Rate: h.Rate, Flood: h.Flood, FloodRate: 2000, Restart: h.Restart, Down: 1, Remove: h.Remove, Drains: h.Drains, Log: e.log})
	if err != nil {
		return err
	}
	if err := r.Print(e.out); err != nil {
		return err
	}
	if !r.Kept() {
		return errBroken
	}
	return nil
}
