package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/finite"
	"snowquay/internal/core/registry"
)

const (
	maxRecords         = 131072 // servers of all tenants; a single tenant may have 4,096
	startTimeTolerance = 2.0    // seconds by which the start times that two coordinators see for one server may differ, as each has its own connection to it
)

func (s *State) applyRecords(records []registry.Record) error {
	for _, record := range records {
		known, ok := s.Records[record.Server]
		if !ok && len(s.Records) >= maxRecords {
			return fmt.Errorf("%w: more than %d records", ErrInvalidCommand, maxRecords)
		}
		if s.Records == nil {
			s.Records = map[balancer.Server]registry.Record{}
		}
		s.Records[record.Server] = mergeRecord(known, record)
	}
	return nil
}

// mergeRecord returns the updated record. While a drain lasts, it keeps the earliest start time of the drain, since a takeover must not
// restart the grace period.
func mergeRecord(known, update registry.Record) registry.Record {
	if known.Phase != balancer.Ready && update.Phase == known.Phase && known.NotifiedAt > 0 {
		update.NotifiedAt = min(update.NotifiedAt, known.NotifiedAt)
	}
	return update
}

func (s *State) applyDrain(command Command) error {
	if command.Server == "" || !finite.NonNegative(command.OrderedAt) || command.Draining && len(s.Drains) >= maxRecords {
		return fmt.Errorf("%w: %+v", ErrInvalidCommand, command)
	}
	if s.orderAlreadyApplied(command.ID) {
		return nil
	}
	s.OrderCount++
	if !command.Draining {
		delete(s.Drains, command.Server)
		return nil
	}
	if s.Drains == nil {
		s.Drains = map[balancer.Server]float64{}
	}
	orderedAt, draining := s.Drains[command.Server]
	if !draining || command.OrderedAt < orderedAt { // a repeated order does not restart the grace period
		s.Drains[command.Server] = command.OrderedAt
	}
	return nil
}

// ChangedRecords returns the records that differ from the committed ones: new servers and servers with a changed phase, configuration, drain
// or start time. Every coordinator receives the state of every server; without this filter all of them would repeatedly propose the same
// records.
func (s *State) ChangedRecords(records []registry.Record) (changed []registry.Record) {
	for _, record := range records {
		known, ok := s.Records[record.Server]
		differs := !ok || known.ServerConfig != record.ServerConfig || known.Phase != record.Phase ||
			known.DrainOrdered != record.DrainOrdered || math.Abs(known.Started-record.Started) > startTimeTolerance
		if differs {
			changed = append(changed, record)
		}
	}
	return changed
}

// ServerRecords returns all committed records, sorted by server.
func (s *State) ServerRecords() []registry.Record {
	all := make([]registry.Record, 0, len(s.Records))
	for _, record := range s.Records {
		all = append(all, record)
	}
	slices.SortFunc(all, func(a, b registry.Record) int { return cmp.Compare(a.Server, b.Server) })
	return all
}
