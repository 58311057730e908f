package emulator

import (
	"net/netip"
	"slices"
)

// observedRelay is the state of a relay as observed by the checker. Times are clock times of the scenario in seconds.
type observedRelay struct {
	host         netip.Addr
	joinedAt     float64   // 0 while the relay is not joined
	hasEntry     []bool    // whether the table has a usable entry, by class
	emptySince   []float64 // start of a checked period without a usable entry, by class; 0 for none
	messageTimes []float64 // arrival times within the channel's message window
}

// relayState returns the state of a relay. It adds an unknown relay.
func (ic *InvariantChecker) relayState(uid string) *observedRelay {
	relay := ic.relays[uid]
	if relay == nil {
		relay = &observedRelay{hasEntry: make([]bool, len(ic.classes)), emptySince: make([]float64, len(ic.classes))}
		ic.relays[uid] = relay
	}
	return relay
}

func (ic *InvariantChecker) relayStarted(uid string, host netip.Addr) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.relayState(uid).host = host
}

func (ic *InvariantChecker) relayJoined(now float64, uid string) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	relay := ic.relayState(uid)
	relay.joinedAt = now
	relay.messageTimes = nil
	clear(relay.emptySince)
}

func (ic *InvariantChecker) relayLeft(uid string) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.relayState(uid).joinedAt = 0
}

// RelayDown records that the scenario stopped a relay.
func (ic *InvariantChecker) RelayDown(uid string) { ic.relayLeft(uid) }

// AllRelaysLed reports whether every relay is joined to a coordinator, and whether every relay has also received a message
// since it joined.
func (ic *InvariantChecker) AllRelaysLed() (joined, updated bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	joined = true
	updated = true
	for _, relay := range ic.relays {
		joined = joined && relay.joinedAt > 0
		updated = updated && relay.joinedAt > 0 && len(relay.messageTimes) > 0
	}
	return joined, updated
}

// tableChanged records whether a relay's table for a class has a usable entry.
func (ic *InvariantChecker) tableChanged(now float64, uid string, class int, hasEntry bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	relay := ic.relayState(uid)
	if relay.hasEntry[class] == hasEntry {
		return // CheckDeadlines handles the passage of time
	}
	relay.hasEntry[class] = hasEntry
	ic.checkEmptyTables(now)
}

// checkEmptyTables checks the first rule: no joined relay has an empty table while a warm server is available.
func (ic *InvariantChecker) checkEmptyTables(now float64) {
	warm := ic.hasWarmServer(now)
	for uid, relay := range ic.relays {
		for class, hasEntry := range relay.hasEntry {
			if hasEntry || !warm || relay.joinedAt == 0 {
				relay.emptySince[class] = 0
				continue
			}
			if relay.emptySince[class] == 0 {
				relay.emptySince[class] = now
			}
			empty := now - relay.emptySince[class]
			ic.longestEmptyTable = max(ic.longestEmptyTable, empty)
			if empty > ic.rules.Guarantees.EmptyTableDeadline+ic.rules.ObservationSlack {
				ic.recordViolation(ruleEmptyTable, now, "%s has had no line for %s for %.2f s", uid, ic.classes[class].Name, empty)
			}
		}
	}
}

func (ic *InvariantChecker) hasWarmServer(now float64) bool {
	for _, server := range ic.servers {
		if server.up && server.registered && !server.draining && now-server.startedAt >= ic.rules.Guarantees.WarmupDuration {
			return true
		}
	}
	return false
}

// attemptSent checks the third rule: no attempt is sent to a withdrawn server after the drain deadline.
func (ic *InvariantChecker) attemptSent(now float64, uid string, address netip.AddrPort) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.Attempts++
	relay := ic.relayState(uid)
	server := ic.serverState(address)
	if relay.joinedAt == 0 || server.withdrawnAt == 0 {
		return
	}
	after := now - max(server.withdrawnAt, relay.joinedAt)
	ic.latestAfterDrain = max(ic.latestAfterDrain, after)
	if after > ic.rules.Guarantees.DrainDeadline+ic.rules.ObservationSlack {
		ic.recordViolation(ruleDrainDeadline, now, "%s sent to %s, %.2f s after it was told to drain", uid, address, after)
	}
}

// LatestAfterDrain returns the longest time between the withdrawal of a server and a later request to it, in seconds.
func (ic *InvariantChecker) LatestAfterDrain() float64 {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.latestAfterDrain
}

// responseReceived adds the size of a long-poll response, and the size that it would have with full tables.
func (ic *InvariantChecker) responseReceived(size, fullTableSize int) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.Bytes += size
	ic.FullTableBytes += fullTableSize
}

// sentMessage holds the arrival time of a coordinator's message and its cost in table entries.
type sentMessage struct{ at, entries float64 }

const (
	paceWindowSeconds = 2.0 // period over which the entry rate is checked
	paceTolerance     = 1.1 // messages sent at an even rate may arrive slightly less evenly
)

// messageReceived checks the fifth rule: messages to relays stay within the limits of the channel.
func (ic *InvariantChecker) messageReceived(now float64, uid string, entries int) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.Messages++
	ic.Entries += entries
	ic.checkMessageCount(now, uid)
	ic.checkPace(now, entries)
}

func (ic *InvariantChecker) checkMessageCount(now float64, uid string) {
	channel := ic.rules.Channel
	relay := ic.relayState(uid)
	relay.messageTimes = append(relay.messageTimes, now)
	relay.messageTimes = slices.DeleteFunc(relay.messageTimes, func(at float64) bool { return at <= now-channel.MessageWindow })
	count := len(relay.messageTimes)
	ic.peakMessages = max(ic.peakMessages, count)
	if channel.MaxMessages > 0 && count > channel.MaxMessages {
		ic.recordViolation(ruleChannelLimits, now, "%d messages to %s within %.0f s", count, uid, channel.MessageWindow)
	}
}

func (ic *InvariantChecker) checkPace(now float64, entries int) {
	channel := ic.rules.Channel
	ic.sentMessages = append(ic.sentMessages, sentMessage{at: now, entries: float64(entries) + channel.MessageOverhead})
	ic.sentMessages = slices.DeleteFunc(ic.sentMessages, func(m sentMessage) bool { return m.at <= now-paceWindowSeconds })
	sum := 0.0
	largest := 0.0
	for _, message := range ic.sentMessages {
		sum += message.entries
		largest = max(largest, message.entries)
	}
	ic.peakEntryRate = max(ic.peakEntryRate, (sum-largest)/paceWindowSeconds)
	if sum > channel.EntriesPerSecond*(paceWindowSeconds+ic.rules.ObservationSlack)*paceTolerance+largest {
		ic.recordViolation(ruleChannelLimits, now, "%.0f lines within %.0f s", sum, paceWindowSeconds)
	}
}

// CheckQueue checks the peak number of queued entries, as counted by a coordinator itself.
func (ic *InvariantChecker) CheckQueue(now, peak float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if peak > ic.rules.Channel.MaxQueued {
		ic.recordViolation(ruleChannelLimits, now, "%.0f lines waited, at most %.0f may", peak, ic.rules.Channel.MaxQueued)
	}
}
