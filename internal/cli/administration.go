package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"snowquay/internal/console"
	"snowquay/internal/core/authz"
	"snowquay/internal/service"
	"snowquay/internal/settings"
)

// adminCall calls the administration API of a coordinator or of a tenant with the rights of a role. The path
// is relative to the API root of the coordinator or of the tenant. It returns the body of the response.
type adminCall func(role authz.Role, method, path string, body any) (json.RawMessage, error)

// coordinatorTarget is the argument that selects the coordinator that a command calls.
type coordinatorTarget struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML) of the coordinator."`
}

func (t *coordinatorTarget) adminCall() (adminCall, error) {
	config, err := settings.LoadCoordinator(t.Settings)
	if err != nil {
		return nil, err
	}
	return func(role authz.Role, method, path string, body any) (json.RawMessage, error) {
		return service.CallAdmin(config, role, method, "/v1"+path, body)
	}, nil
}

// get reads a resource with the rights of a viewer and decodes it into result.
func (t *coordinatorTarget) get(path string, result any) error {
	call, err := t.adminCall()
	if err != nil {
		return err
	}
	return get(call, path, result)
}

// get reads a resource with the rights of a viewer and decodes it into result.
func get(call adminCall, path string, result any) error {
	response, err := call(authz.RoleViewer, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(response, result)
}

// drainOptions are the arguments and flags of the commands that drain a server.
type drainOptions struct {
	Server   string  `arg:"" help:"Address and port."`
	End      bool    `help:"End the drain."`
	Force    bool    `help:"Also if it would do harm."`
	LoseZone bool    `help:"Refuse it also if it would do harm after the loss of any one zone."`
	Follow   float64 `help:"Seconds to wait until no proxy sends to it." default:"10"`
}

// drainRequest is the request body that drains a server or ends its drain.
type drainRequest struct {
	Force    bool   `json:"force"`
	LoseZone bool   `json:"lose-zone"`
	On       bool   `json:"on"`
	Server   string `json:"server"`
}

// submit requests the drain or its end and prints the last response. After a request for a drain, it waits up to
// Follow seconds until no proxy sends to the server.
func (o *drainOptions) submit(env *environment, call adminCall) error {
	request := drainRequest{Force: o.Force, LoseZone: o.LoseZone, On: !o.End, Server: o.Server}
	response, err := call(authz.RoleStaff, http.MethodPost, "/drains", request)
	if err != nil {
		return err
	}
	if !o.End && o.Follow > 0 {
		path := fmt.Sprintf("/drains/%s?wait=%g", service.EscapePathSegment(o.Server), o.Follow)
		response, err = call(authz.RoleViewer, http.MethodGet, path, nil)
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(env.out, "%s\n", response)
	return err
}

type drainCommand struct {
	coordinatorTarget
	drainOptions
}

// Run drains a server, or ends its drain.
func (c *drainCommand) Run(env *environment) error {
	call, err := c.adminCall()
	if err != nil {
		return err
	}
	return c.submit(env, call)
}

type previewCommand struct {
	coordinatorTarget
	Server   []string `arg:"" help:"Addresses and ports of servers to be drained together."`
	LoseZone bool     `help:"Also with any one zone lost."`
}

// previewRequest is the request body for a preview of draining several servers together.
type previewRequest struct {
	Drain    []string `json:"drain"`
	LoseZone bool     `json:"lose-zone"`
}

// Run prints why servers must not be drained together. The result is negative if there is a reason.
func (c *previewCommand) Run(env *environment) error {
	call, err := c.adminCall()
	if err != nil {
		return err
	}
	request := previewRequest{Drain: c.Server, LoseZone: c.LoseZone}
	response, err := call(authz.RoleViewer, http.MethodPost, "/preview", request)
	if err != nil {
		return err
	}
	var result struct {
		Harmless bool     `json:"harmless"`
		Reasons  []string `json:"reasons"`
	}
	if err := json.Unmarshal(response, &result); err != nil {
		return err
	}
	for _, reason := range result.Reasons {
		console.Println(env.out, reason)
	}
	if !result.Harmless {
		return errNegativeResult
	}
	_, err = fmt.Fprintln(env.out, "harmless")
	return err
}

type explainCommand struct {
	coordinatorTarget
	Proxy string `arg:"" help:"UID of the proxy."`
	Most  int    `help:"Maximum number of orders." default:"5"`
}

// Run prints the latest orders that were sent to a proxy, and their reasons.
func (c *explainCommand) Run(env *environment) error {
	call, err := c.adminCall()
	if err != nil {
		return err
	}
	return explainOrders(env, call, c.Proxy, c.Most)
}

// explainOrders prints the latest orders that were sent to a proxy, at most limit. It prints all fields of
// an order, since the kinds of orders have different fields.
func explainOrders(env *environment, call adminCall, proxy string, limit int) error {
	var orders []map[string]any
	if err := get(call, "/orders?relay="+url.QueryEscape(proxy), &orders); err != nil {
		return err
	}
	if len(orders) == 0 {
		console.Printf(env.out, "no order to %s is remembered\n", proxy)
	}
	for _, order := range orders[:min(len(orders), limit)] {
		console.Printf(env.out, "round %v", order["round"])
		for _, name := range slices.Sorted(maps.Keys(order)) {
			if name != "round" && name != "relay" {
				console.Printf(env.out, ", %s %v", name, order[name])
			}
		}
		console.Println(env.out)
	}
	return nil
}

type serversCommand struct {
	coordinatorTarget
}

// Run lists the servers that a coordinator knows.
func (c *serversCommand) Run(env *environment) error {
	var servers []struct {
		Server        string `json:"server"`
		Phase         string `json:"phase"`
		Zone          string `json:"zone"`
		FailureDomain int    `json:"pod"`
		WarmingUp     bool   `json:"cold"`
	}
	if err := c.get("/servers", &servers); err != nil {
		return err
	}
	for _, server := range servers {
		warmup := ""
		if server.WarmingUp {
			warmup = ", cold"
		}
		console.Printf(env.out, "%-24s %s%s (zone %s, pod %d)\n",
			server.Server, server.Phase, warmup, server.Zone, server.FailureDomain)
	}
	return nil
}
