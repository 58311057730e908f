package service

import (
	"encoding/json"
	"fmt"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/frontend/admin"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
)

// administeredHost gives the administration API access to a host. It implements admin.TenantHost.
type administeredHost struct {
	server  *eventloop.Server
	program *coordinator.Host
	traces  *traceRecorder
	loggers *tenantLoggers
}

// Do implements admin.Program.
func (h *administeredHost) Do(f func(now float64)) { doOnLoop(h.server, f) }

// doOnLoop calls f on the event loop, between two events of a host. f reads the state of tenants and may panic. The
// panic is raised again on the caller's goroutine, where the HTTP server, or the registry of the metrics, recovers
// from it, so that it does not terminate the host.
func doOnLoop(server *eventloop.Server, f func(now float64)) {
	panicked := make(chan any, 1) // buffered, since f may still run after Do has stopped waiting for it
	server.Do(func(now float64) {
		defer func() {
			if cause := recover(); cause != nil {
				panicked <- cause
			}
		}()
		f(now)
	})
	select {
	case cause := <-panicked:
		panic(cause)
	default:
	}
}

// Identify implements authz.Authenticator.
func (h *administeredHost) Identify(credential string) (authz.Principal, bool) {
	return h.program.Credentials.Identify(credential)
}

// Fleet implements admin.Program.
func (h *administeredHost) Fleet(name tenancy.Name) (*controlplane.Fleet, bool) {
	runtime, ok := h.program.Tenant(name)
	if !ok || runtime.Coordinator == nil {
		return nil, false
	}
	return runtime.Coordinator.Fleet, true
}

// Drain implements admin.Program.
func (h *administeredHost) Drain(now float64, name tenancy.Name, server balancer.Server, on bool, done func(ok bool)) {
	h.program.Drain(now, name, server, on, done)
}

// MessageTraces implements admin.Program.
func (h *administeredHost) MessageTraces(name tenancy.Name, proxyUID string) []admin.MessageTrace {
	if proxyUID != "" {
		proxyUID = name.UID(proxyUID)
	}
	return h.traces.log.latest(name, proxyUID)
}

// TenantRows implements admin.TenantHost.
func (h *administeredHost) TenantRows() []admin.TenantRow {
	rows := []admin.TenantRow{} // not nil, so that an empty list is encoded as [] in JSON
	for _, runtime := range h.program.Tenants() {
		rows = append(rows, h.row(runtime))
	}
	return rows
}

func (h *administeredHost) row(runtime *coordinator.TenantRuntime) admin.TenantRow {
	row := admin.TenantRow{
		Name:         runtime.Name,
		Incarnation:  runtime.Incarnation,
		Version:      runtime.Version,
		Weight:       runtime.Weight,
		Requirements: runtime.Requirements,
		Running:      runtime.Coordinator != nil,
	}
	if runtime.Err != nil {
		row.Error = runtime.Err.Error()
	}
	if runtime.Coordinator != nil {
		fleet := runtime.Coordinator.Fleet
		row.Servers = len(fleet.Registry.Servers())
		row.Relays = fleet.Joined()
		row.UpToDate = fleet.UpToDate()
		row.QueuedEntries, _ = fleet.QueuedEntries()
	}
	row.CPUSeconds, row.LongestWait = h.program.Scheduler.Usage(runtime.Name)
	return row
}

// TenantRow implements admin.TenantHost.
func (h *administeredHost) TenantRow(name tenancy.Name) (admin.TenantRow, bool) {
	runtime, ok := h.program.Tenant(name)
	if !ok {
		return admin.TenantRow{}, false
	}
	return h.row(runtime), true
}

// Settings implements admin.TenantHost.
func (h *administeredHost) Settings(name tenancy.Name) ([]byte, error) {
	tenant, ok := h.program.Directory.Get(name)
	if !ok {
		return nil, tenancy.ErrNotFound
	}
	return settings.MaskKeys(tenant.Settings)
}

// RestoreKeys implements admin.TenantHost.
func (h *administeredHost) RestoreKeys(name tenancy.Name, text []byte) ([]byte, error) {
	tenant, _ := h.program.Directory.Get(name) // a new tenant has no stored keys
	return settings.MergeKeys(text, tenant.Settings)
}

// EditServer implements admin.TenantHost.
func (h *administeredHost) EditServer(name tenancy.Name, text []byte) ([]byte, error) {
	tenant, ok := h.program.Directory.Get(name)
	if !ok {
		return nil, tenancy.ErrNotFound
	}
	var edit settings.ServerEdit
	err := json.Unmarshal(text, &edit)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", settings.ErrInvalidEdit, err)
	}
	return edit.Apply(tenant.Settings)
}

// PreviewSettings implements admin.TenantHost.
func (h *administeredHost) PreviewSettings(now float64, tenant tenancy.Tenant) (admin.SettingsPreview, error) {
	result, err := h.program.Preview(now, tenant)
	if err != nil {
		return admin.SettingsPreview{}, err
	}
	revision := result.Revision
	preview := admin.SettingsPreview{
		Weight:        result.Config.Weight,
		Requirements:  result.Config.Requirements,
		RestartReason: revision.RestartReason,
		Added:         len(revision.Added),
		RelaysEvicted: len(revision.Evicted),
	}
	for _, server := range revision.Removed {
		preview.Removed = append(preview.Removed, string(server))
	}
	for _, reason := range result.Reasons {
		preview.Reasons = append(preview.Reasons, reason.String())
	}
	return preview, nil
}

// ChangeTenant implements admin.TenantHost.
func (h *administeredHost) ChangeTenant(now float64, command tenancy.Command, done func(tenancy.Outcome, error)) {
	h.program.ChangeTenant(now, command, func(outcome tenancy.Outcome, err error) {
		if command.Kind == tenancy.Remove && err == nil && outcome.Err() == nil {
			h.traces.log.removeTenant(command.Name)
			h.loggers.remove(command.Name)
		}
		done(outcome, err)
	})
}
