package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"snowquay/internal/console"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/service"
	"snowquay/internal/settings"
)

type tenantCommands struct {
	List    tenantListCommand    `cmd:"" help:"List all tenants, whether they run, and what they use."`
	Show    tenantShowCommand    `cmd:"" help:"Show one tenant: its settings without keys, servers, proxies or changes."`
	Put     tenantPutCommand     `cmd:"" help:"Create a tenant, or change its settings."`
	Remove  tenantRemoveCommand  `cmd:"" help:"Remove a tenant for good."`
	Check   tenantCheckCommand   `cmd:"" help:"Check a tenant's settings: print their errors by line and element, or what the tenant would need of a host."`
	Server  tenantServerCommand  `cmd:"" help:"Add, change or remove one server of a tenant's settings."`
	Drain   tenantDrainCommand   `cmd:"" help:"Drain a server, or end its drain, and follow it."`
	Explain tenantExplainCommand `cmd:"" help:"Print why a proxy's latest orders were given, and when it held them."`
}

// tenantTarget holds the arguments that select a tenant of a host.
type tenantTarget struct {
	Host   string `arg:"" type:"existingfile" help:"Settings file of the host (XML)."`
	Tenant string `arg:"" help:"Name of the tenant."`
}

func (t *tenantTarget) adminCall() (adminCall, error) {
	host, err := settings.LoadHost(t.Host)
	if err != nil {
		return nil, err
	}
	if _, err := tenancy.ParseName(t.Tenant); err != nil {
		return nil, err
	}
	return func(role authz.Role, method, path string, body any) (json.RawMessage, error) {
		return service.CallHostAdmin(host, role, method, "/v1/tenants/"+t.Tenant+path, body)
	}, nil
}

// print calls the administration API and prints the response.
func (t *tenantTarget) print(env *environment, role authz.Role, method, path string, body any) error {
	call, err := t.adminCall()
	if err != nil {
		return err
	}
	response, err := call(role, method, path, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "%s\n", response)
	return err
}

type tenantListCommand struct {
	Host string `arg:"" type:"existingfile" help:"Settings file of the host (XML)."`
}

// tenantStatus is an element of the list of a host's tenants.
type tenantStatus struct {
	Name        string  `json:"name"`
	Problem     string  `json:"wrong"`
	Version     uint64  `json:"version"`
	CPU         float64 `json:"work"`    // CPU time in seconds
	LongestWait float64 `json:"longest"` // seconds
	Running     bool    `json:"runs"`
	Servers     int     `json:"servers"`
	Proxies     int     `json:"relays"`
	Current     int     `json:"newest"` // number of proxies that hold the newest tables
}

// Run lists the tenants of a host.
func (c *tenantListCommand) Run(env *environment) error {
	host, err := settings.LoadHost(c.Host)
	if err != nil {
		return err
	}
	response, err := service.CallHostAdmin(host, authz.RoleViewer, http.MethodGet, "/v1/tenants", nil)
	if err != nil {
		return err
	}
	var tenants []tenantStatus
	if err := json.Unmarshal(response, &tenants); err != nil {
		return err
	}
	for _, tenant := range tenants {
		state := "runs"
		if !tenant.Running {
			state = "does not run"
		}
		if tenant.Problem != "" {
			state += ": " + tenant.Problem
		}
		console.Printf(env.out, "%-24s version %d, %s; %d servers, %d of %d relays hold the newest tables; %.2f s of work, waited %.0f ms at most\n",
			tenant.Name, tenant.Version, state, tenant.Servers, tenant.Current, tenant.Proxies, tenant.CPU,
			tenant.LongestWait*millisecondsPerSecond)
	}
	return nil
}

const millisecondsPerSecond = float64(time.Second / time.Millisecond)

type tenantShowCommand struct {
	tenantTarget
	What string `arg:"" optional:"" help:"state, settings, servers, relays or audit." enum:"state,settings,servers,relays,audit" default:"state"`
}

// Run prints the requested part of a tenant's data.
func (c *tenantShowCommand) Run(env *environment) error {
	path := "/" + c.What
	role := authz.RoleViewer
	switch c.What {
	case "state":
		path = ""
	case "settings", "audit":
		role = authz.RoleStaff
	}
	return c.print(env, role, http.MethodGet, path, nil)
}

type tenantPutCommand struct {
	tenantTarget
	Settings string `arg:"" type:"existingfile" help:"Settings file of the tenant (XML)."`
	DryRun   bool   `help:"Only print what would follow."`
	Force    bool   `help:"Also if it would do harm."`
}

// Run creates a tenant or changes its settings.
func (c *tenantPutCommand) Run(env *environment) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	query := url.Values{}
	if c.DryRun {
		query.Set("dry-run", "true")
	}
	if c.Force {
		query.Set("force", "true")
	}
	return c.print(env, authz.RoleHost, http.MethodPut, "?"+query.Encode(), text)
}

type tenantRemoveCommand struct {
	tenantTarget
	Force bool `help:"Also while proxies are joined: they continue with the tables that they hold."`
}

// Run removes a tenant.
func (c *tenantRemoveCommand) Run(env *environment) error {
	return c.print(env, authz.RoleHost, http.MethodDelete, fmt.Sprintf("?force=%t", c.Force), nil)
}

type tenantCheckCommand struct {
	tenantTarget
	Settings string `arg:"" type:"existingfile" help:"Settings file of the tenant (XML)."`
}

const bytesPerMegabyte = 1 << 20

// Run checks a tenant's settings and prints the resources that the tenant requires of a host.
func (c *tenantCheckCommand) Run(env *environment) error {
	host, err := settings.LoadHost(c.Host)
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
	tenant, err := settings.ParseTenant(name, text, host)
	if err != nil {
		return err
	}
	site := &tenant.Config.Site
	requirements := &tenant.Requirements
	_, err = fmt.Fprintf(env.out, "tenant %s: %d classes, %d servers, %d relays listed; weight %g\n"+
		"takes at most %.1f MB, %.0f lines a second, %.0f connections, %.4f of a core\n",
		name, len(site.Classes), len(site.Servers), len(site.Proxies), tenant.Weight,
		requirements.Memory/bytesPerMegabyte, requirements.EntriesPerSecond, requirements.Connections, requirements.CPU)
	return err
}

type tenantServerCommand struct {
	tenantTarget
	Server   string  `arg:"" help:"Address and port."`
	Remove   bool    `help:"Remove it from the settings."`
	Zone     string  `help:"Its zone; a new server needs one."`
	Pod      *int    `help:"Its failure domain."`
	Weight   float64 `help:"Its listed weight."`
	Capacity float64 `help:"Requests per second that it can take when it is warmed up."`
	Standing *bool   `help:"It is in service without registering."`
	Force    bool    `help:"Also if it would do harm."`
}

// Run adds, changes or removes one server of a tenant's settings.
func (c *tenantServerCommand) Run(env *environment) error {
	edit := settings.ServerEdit{
		Server:        c.Server,
		Remove:        c.Remove,
		Zone:          c.Zone,
		FailureDomain: c.Pod,
		Weight:        c.Weight,
		Capacity:      c.Capacity,
		Static:        c.Standing,
	}
	return c.print(env, authz.RoleStaff, http.MethodPost, fmt.Sprintf("/servers?force=%t", c.Force), edit)
}

type tenantDrainCommand struct {
	tenantTarget
	drainOptions
}

// Run drains a tenant's server, or ends its drain.
func (c *tenantDrainCommand) Run(env *environment) error {
	call, err := c.adminCall()
	if err != nil {
		return err
	}
	return c.submit(env, call)
}

type tenantExplainCommand struct {
	tenantTarget
	Relay string `arg:"" help:"The proxy's UID without the tenant's name."`
	Most  int    `help:"Maximum number of orders." default:"5"`
}

// Run prints the latest orders that were sent to a proxy of a tenant, and their reasons.
func (c *tenantExplainCommand) Run(env *environment) error {
	call, err := c.adminCall()
	if err != nil {
		return err
	}
	return explainOrders(env, call, c.Relay, c.Most)
}
