package coordinator

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tablecheck"
	"snowquay/internal/core/tenancy"
)

var (
	// ErrNotCommitted reports that the group of hosts has not committed a change in time. The change may still be committed.
	ErrNotCommitted = errors.New("the change was not agreed on in time")
	// ErrNotPersisted reports that a change could not be saved durably. The change has no effect.
	ErrNotPersisted = errors.New("the change could not be made durable")
)

// ChangeTenant creates, changes or removes a tenant. done is called once, when the change is durable and in effect or was
// rejected. Its error is ErrNotPersisted or ErrNotCommitted; a rejection is part of the outcome.
func (h *Host) ChangeTenant(now float64, command tenancy.Command, done func(outcome tenancy.Outcome, err error)) {
	recorded, ok := h.Directory.FindOutcome(command.ID)
	if ok {
		done(h.repeatedOutcome(recorded, command), nil)
		return
	}
	if h.shared != nil {
		h.shared.propose(now, command, done)
		return
	}
	outcome, err := h.applyCommand(command)
	if err == nil && outcome.Err() == nil {
		h.reconcile(now, command.Name)
	}
	done(outcome, err)
}

// repeatedOutcome returns the outcome of a command whose identifier has been used before.
func (h *Host) repeatedOutcome(recorded tenancy.Outcome, command tenancy.Command) tenancy.Outcome {
	if recorded.Fingerprint != command.Fingerprint {
		return h.Directory.Apply(command) // rejects a different command with the same identifier
	}
	return recorded
}

// applyCommand applies a command to the directory and saves the directory.
func (h *Host) applyCommand(command tenancy.Command) (tenancy.Outcome, error) {
	previous, _ := h.Directory.Get(command.Name)
	checkpoint := h.Directory.Checkpoint(command.Name)
	outcome := h.Directory.Apply(command)
	if outcome.Err() != nil {
		return outcome, nil
	}
	ended := tenancy.Incarnation(0)
	if command.Kind == tenancy.Remove {
		ended = previous.Incarnation
	}
	err := h.store.Save(h.Directory, command.Name, ended)
	if err != nil {
		// A confirmed change must survive a restart. So while the disk is full, no tenant can be changed, but running tenants are not
		// affected.
		h.Directory.Rollback(checkpoint)
		h.Stats.SaveFailures++
		return tenancy.Outcome{}, fmt.Errorf("%w: %w", ErrNotPersisted, err)
	}
	return outcome, nil
}

// directoryCommitted applies a change of the directory that the group has committed. An empty name means that the whole directory
// may have changed.
func (h *Host) directoryCommitted(now float64, name tenancy.Name) {
	replaying := h.io == nil || h.shared.member.Group == nil
	if replaying {
		return // Start registers the resulting tenants
	}
	if name != "" {
		h.reconcile(now, name)
		return
	}
	h.shared.invalidateDrains()
	h.reconcileAll(now)
}

// reconcileAll brings all tenants in line with the directory.
func (h *Host) reconcileAll(now float64) {
	listedNames := map[tenancy.Name]bool{}
	for _, listed := range h.Directory.All() {
		listedNames[listed.Name] = true
		tenant := h.tenants[listed.Name]
		if tenant == nil || tenant.Incarnation != listed.Incarnation || tenant.Version != listed.Version {
			h.reconcile(now, listed.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.tenants)) {
		if !listedNames[name] {
			h.reconcile(now, name)
		}
	}
}

// TenantPreview is the expected effect of changed settings of a tenant.
type TenantPreview struct {
	Config   TenantConfig
	Revision controlplane.Revision
	Reasons  []tablecheck.Finding // harm that the change would cause; empty if it would cause none
}

// Preview checks changed settings of a tenant without applying them: whether they are valid, what would change, and whether the
// change would harm the connected proxies. It returns an error if the settings can't be parsed.
func (h *Host) Preview(now float64, listed tenancy.Tenant) (TenantPreview, error) {
	config, err := h.config.ParseTenant(listed)
	preview := TenantPreview{Config: config}
	if err != nil {
		return preview, err
	}
	tenant := h.running(listed.Name)
	if tenant == nil {
		// The text is a value of the administration API, so it must not change.
		preview.Revision.RestartReason = "there is none that runs"
		return preview, nil
	}
	fleet := tenant.Coordinator.Fleet
	preview.Revision = controlplane.CompareSites(fleet.Site(), &preview.Config.Config.Site)
	reasons := fleet.Preview(now, preview.Revision.Removed, false)
	if len(preview.Revision.Removed) > 0 { // otherwise the findings are not caused by the change
		preview.Reasons = reasons
	}
	return preview, nil
}
