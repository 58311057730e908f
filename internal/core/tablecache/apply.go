package tablecache

import (
	"fmt"

	"snowquay/balancer"
	"snowquay/internal/core/picker"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/sasp"
)

// retryPolicies maps the names of retry policies in responses to the policies.
var retryPolicies = map[string]balancer.RetryPolicy{
	"none":    balancer.RetryNever,
	"proof":   balancer.RetryIfNotExecuted,
	"failure": balancer.RetryOnce,
	"twice":   balancer.RetryTwice,
}

// Apply applies a response of the long-poll API completely or, if it returns an error, not at all. It returns the orders for classes, and
// the servers that are no longer in any table: the caller must close their idle connections, while requests in flight there continue. An
// error wraps ErrEpochOutdated, ErrUnknownBase, ErrUnknownClass or ErrTooManyEntries.
func (t *Tables) Apply(now float64, response *delta.Tables) (orders []ClassOrder, left []balancer.Server, err error) {
	if response.Stale(t.ownershipEpoch) {
		t.Stats.Outdated++
		return nil, nil, fmt.Errorf("%w: %d, newest is %d", ErrEpochOutdated, response.OwnershipEpoch, t.ownershipEpoch)
	}
	if !response.AppliesTo(t.epoch, t.version) {
		t.Stats.BaseUnknown++
		return nil, nil, fmt.Errorf("%w: base %d, current version %d", ErrUnknownBase, response.Base, t.version)
	}
	for i := range response.Classes {
		if err := t.checkUpdate(&response.Classes[i]); err != nil {
			t.Stats.Invalid++
			return nil, nil, err
		}
	}
	touched := map[balancer.Server]bool{}
	for i := range response.Classes {
		update := &response.Classes[i]
		class, _ := t.Class(update.Class)
		applyUpdate(t.tables[class], update, touched)
		order := classOrder(class, update)
		if order.Admission >= 0 || order.HasRetry {
			orders = append(orders, order)
		}
	}
	t.epoch = response.Epoch
	t.version = response.Version
	t.ownershipEpoch = response.OwnershipEpoch
	t.currentAt = now
	t.Stats.Applied++
	return orders, t.recordRemovals(touched), nil
}

// checkUpdate returns an error if the update of a class is not applicable.
func (t *Tables) checkUpdate(update *delta.Class) error {
	class, ok := t.Class(update.Class)
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownClass, update.Class)
	}
	entries := len(update.Entries)
	tooMany := entries > maxClassEntries
	if !update.Full {
		// a delta that replaces servers removes as many as it adds, so that half of its entries may be removals
		tooMany = tooMany || t.tables[class].Len()+entries > maxClassEntries+entries/2
	}
	if tooMany {
		return fmt.Errorf("%w: update of %d in class %q", ErrTooManyEntries, entries, update.Class)
	}
	return nil
}

// applyUpdate applies the update of a class to its table, and adds the affected servers to touched.
func applyUpdate(table picker.Table, update *delta.Class, touched map[balancer.Server]bool) {
	if !update.Full {
		for _, entry := range update.Entries {
			server := balancer.Server(entry.Server)
			touched[server] = true
			table.Set(server, entry.Weight)
		}
		return
	}
	for _, entry := range table.Entries() {
		touched[entry.Server] = true
	}
	var entries []picker.Entry
	for _, entry := range update.Entries {
		if entry.Weight > 0 {
			entries = append(entries, picker.Entry{Server: balancer.Server(entry.Server), Weight: entry.Weight})
		}
	}
	picker.Replace(table, entries)
}

// classOrder returns the orders in the update of a class.
func classOrder(class balancer.Class, update *delta.Class) ClassOrder {
	order := ClassOrder{
		Class:     class,
		Admission: -1,
		Retry:     retryPolicies[update.Retry],
		HasRetry:  update.Retry != "",
	}
	if update.Admission == nil {
		return order
	}
	order.Admission = *update.Admission
	if update.RetryAfter != nil {
		order.RetryAfter = *update.RetryAfter
	}
	return order
}

// ApplyRows applies rows for a class from a SASP workload manager. Each row sets or removes the server that serverOf returns for its
// address. ApplyRows returns the servers that are no longer in any table. If it returns an error, which wraps ErrUnknownClass or
// ErrTooManyEntries, no row is applied.
func (t *Tables) ApplyRows(now float64, className string, rows []sasp.Row, serverOf func(sasp.Address) balancer.Server) ([]balancer.Server, error) {
	class, ok := t.Class(className)
	if !ok {
		t.Stats.Invalid++
		return nil, fmt.Errorf("%w: %q", ErrUnknownClass, className)
	}
	table := t.tables[class]
	if table.Len()+len(rows) > 2*maxClassEntries {
		t.Stats.Invalid++
		return nil, fmt.Errorf("%w: update of %d in class %q", ErrTooManyEntries, len(rows), className)
	}
	touched := map[balancer.Server]bool{}
	for _, row := range rows {
		server := serverOf(row.Address)
		weight := float64(row.Weight)
		if row.Flags&sasp.Quiesce != 0 {
			weight = 0
		}
		touched[server] = true
		table.Set(server, weight)
	}
	t.currentAt = now
	t.Stats.Applied++
	return t.recordRemovals(touched), nil
}
