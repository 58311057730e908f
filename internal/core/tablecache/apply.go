package tablecache

import (
	"fmt"

	"snowquay/balancer"
	"snowquay/internal/core/picker"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/sasp"
)

// retryPolicies by their names in responses.
var retryPolicies = map[string]balancer.RetryPolicy{
	"none":    balancer.RetryNever,
	"proof":   balancer.RetryIfNotExecuted,
	"failure": balancer.RetryOnce,
	"twice":   balancer.RetryTwice,
}

// Apply applies a response of the long-poll API completely or, with an error, not at all. It returns the orders for classes, and the
// servers that are in no table any more: their idle connections are to be closed, and requests in flight there go on. An error wraps
// ErrEpochOutdated, ErrUnknownBase, ErrUnknownClass or ErrTooManyEntries.
func (t *Tables) Apply(now float64, response *delta.Tables) (orders []ClassOrder, left []balancer.Server, err error) {
	if response.Stale(t.ownershipEpoch) {
		t.Stats.Outdated++
		return nil, nil, fmt.Errorf("%w: %d, newest %d", ErrEpochOutdated, response.OwnershipEpoch, t.ownershipEpoch)
	}
	if !response.AppliesTo(t.epoch, t.version) {
		t.Stats.BaseUnknown++
		return nil, nil, fmt.Errorf("%w: base %d, held %d", ErrUnknownBase, response.Base, t.version)
	}
	for i := range response.Classes {
		if err := t.check(&response.Classes[i]); err != nil {
			t.Stats.Invalid++
			return nil, nil, err
		}
	}
	touched := map[balancer.Server]bool{}
	for i := range response.Classes {
		update := &response.Classes[i]
		class, _ := t.Class(update.Class)
		applyEntries(t.tables[class], update, touched)
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

// check returns an error if the update of a class cannot be applied.
func (t *Tables) check(update *delta.Class) error {
	class, ok := t.Class(update.Class)
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownClass, update.Class)
	}
	entries := len(update.Entries)
	tooMany := entries > maxEntries
	if !update.Full {
		tooMany = tooMany || t.tables[class].Len()+entries > maxEntries+entries/2 // a delta may replace as many as it adds
	}
	if tooMany {
		return fmt.Errorf("%w: %d in class %q", ErrTooManyEntries, entries, update.Class)
	}
	return nil
}

// applyEntries changes the table of a class and adds the servers concerned to touched.
func applyEntries(table picker.Table, update *delta.Class, touched map[balancer.Server]bool) {
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

// ApplyRows applies the rows of a class that a SASP workload manager sends: each sets or removes a server, which serverOf names. It
// returns the servers that are in no table any more. An error wraps ErrUnknownClass or ErrTooManyEntries; nothing is applied then.
func (t *Tables) ApplyRows(now float64, className string, rows []sasp.Row, serverOf func(sasp.Address) balancer.Server) ([]balancer.Server, error) {
	class, ok := t.Class(className)
	if !ok {
		t.Stats.Invalid++
		return nil, fmt.Errorf("%w: %q", ErrUnknownClass, className)
	}
	table := t.tables[class]
	if table.Len()+len(rows) > 2*maxEntries {
		t.Stats.Invalid++
		return nil, fmt.Errorf("%w: %d in class %q", ErrTooManyEntries, len(rows), className)
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
