package admin

import (
	"net/http"
	"strconv"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tablecheck"
)

// phaseNames are the names of the phases of a server in the API.
var phaseNames = map[balancer.Phase]string{
	balancer.Ready:    "in service",
	balancer.Draining: "drains",
	balancer.Removed:  "gone",
}

// serverRow is a server in a response.
type serverRow struct {
	Server        balancer.Server        `json:"server"`
	Phase         string                 `json:"phase"`
	Zone          string                 `json:"zone"`
	FailureDomain balancer.FailureDomain `json:"pod"`
	StartedAt     float64                `json:"started"` // clock time in seconds
	WarmingUp     bool                   `json:"cold"`
}

// proxyRow is a proxy in a response.
type proxyRow struct {
	UID      string `json:"uid"`
	Zone     string `json:"zone"`
	UpToDate bool   `json:"newest"`           // the proxy is known to hold the newest tables
	Polls    bool   `json:"asks"`             // the proxy gets its tables by long polling
	Urgent   bool   `json:"urgent,omitempty"` // an urgent change, such as a drain, waits for the proxy or is in flight to it
}

// previewRequest is the body of a call that previews a drain.
type previewRequest struct {
	Drain    []balancer.Server `json:"drain"`
	LoseZone bool              `json:"lose-zone"`
}

// previewResponse is the result of the preview of a drain: whether it would do harm, and why.
type previewResponse struct {
	Harmless bool     `json:"harmless"`
	Reasons  []string `json:"reasons"`
}

// registryTag returns the ETag of a fleet's list of servers.
func registryTag(fleet *controlplane.Fleet) string {
	return strconv.Quote(strconv.Itoa(fleet.Registry.Version()))
}

// zoneName returns the name of a zone; empty if the fleet has no such zone.
func zoneName(fleet *controlplane.Fleet, zone balancer.Zone) string {
	zones := fleet.Site().Zones
	if int(zone) < 0 || int(zone) >= len(zones) {
		return ""
	}
	return zones[zone]
}

// servers lists the servers of a fleet.
func (a *API) servers(w http.ResponseWriter, _ *http.Request, c call) {
	rows := []serverRow{} // not nil, so that no servers are [] in JSON
	tag := ""
	ok := a.withFleet(w, c, func(now float64, fleet *controlplane.Fleet) {
		tag = registryTag(fleet)
		warmup := fleet.Site().Guarantees.WarmupDuration
		for _, name := range fleet.Registry.Servers() {
			record, _ := fleet.Registry.Find(name)
			rows = append(rows, serverRow{
				Server:        name,
				Phase:         phaseNames[record.Phase],
				Zone:          zoneName(fleet, record.Zone),
				FailureDomain: record.FailureDomain,
				StartedAt:     record.Started,
				WarmingUp:     fleet.Registry.WarmingUp(now, name, warmup),
			})
		}
	})
	if !ok {
		return
	}
	w.Header().Set("ETag", tag)
	writeJSON(w, http.StatusOK, rows)
}

// proxies lists the joined proxies.
func (a *API) proxies(w http.ResponseWriter, _ *http.Request, c call) {
	rows := []proxyRow{} // not nil, so that no proxies are [] in JSON
	ok := a.withFleet(w, c, func(_ float64, fleet *controlplane.Fleet) {
		for _, status := range fleet.ProxyStatuses() {
			rows = append(rows, proxyRow{
				UID:      status.UID,
				Zone:     zoneName(fleet, status.Zone),
				UpToDate: status.UpToDate,
				Polls:    status.Polls,
				Urgent:   status.Urgent,
			})
		}
	})
	if ok {
		writeJSON(w, http.StatusOK, rows)
	}
}

// messageTraces lists the latest message traces; with ?relay=UID only those of messages to that proxy.
func (a *API) messageTraces(w http.ResponseWriter, r *http.Request, c call) {
	writeJSON(w, http.StatusOK, a.program.MessageTraces(c.tenant, r.URL.Query().Get("relay")))
}

// preview responds with the harm that the drain of some servers would do.
func (a *API) preview(w http.ResponseWriter, r *http.Request, c call) {
	var request previewRequest
	_, ok := decodeBody(w, r, &request)
	if !ok {
		return
	}
	var findings []tablecheck.Finding
	ok = a.withFleet(w, c, func(now float64, fleet *controlplane.Fleet) {
		findings = fleet.Preview(now, request.Drain, request.LoseZone)
	})
	if ok {
		writeJSON(w, http.StatusOK, previewResponse{Harmless: len(findings) == 0, Reasons: findingTexts(findings)})
	}
}
