package emulator

import (
	"net/netip"
	"slices"
)

// observedRelay is what the checker knows of a relay. Times are seconds of the scenario's clock.
type observedRelay struct {
	host         netip.Addr
	joinedAt     float64   // 0: it is not joined
	hasEntry     []bool    // by class
	emptySince   []float64 // by class; 0: it has an entry
	messageTimes []float64 // within the channel's message window
}

// relayState returns the state of a relay, which is added if it is new.
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

// RelayDown reports that the scenario stopped a relay.
func (ic *InvariantChecker) RelayDown(uid string) { ic.relayLeft(uid) }

// AllRelaysLed tells whether every relay is joined, and whether every one was also sent a message since it joined.
func (ic *InvariantChecker) AllRelaysLed() (led, updated bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	led = true
	updated = true
	for _, relay := range ic.relays {
		led = led && relay.joinedAt > 0
		updated = updated && relay.joinedAt > 0 && len(relay.messageTimes) > 0
	}
	return led, updated
}

// tableChanged reports whether a relay's table for a class has a usable entry.
func (ic *InvariantChecker) tableChanged(now float64, uid string, class int, hasEntry bool) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	relay := ic.relayState(uid)
	if relay.hasEntry[class] == hasEntry {
		return // CheckDeadlines judges what depends on time
	}
	relay.hasEntry[class] = hasEntry
	ic.checkEmptyTables(now)
}

// checkEmptyTables judges the first rule: no joined relay has an empty table while a warm server is available.
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
				ic.recordViolation(ruleTable, now, "%s has had no line for %s for %.2f s", uid, ic.classes[class].Name, empty)
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

// attemptSent judges the third rule: nothing is sent to a withdrawn server after the drain deadline.
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
		ic.recordViolation(ruleDrain, now, "%s sent to %s, %.2f s after it was told to drain", uid, address, after)
	}
}

// LatestAfterDrain returns how long after a drain the last request was sent to its server, in seconds.
func (ic *InvariantChecker) LatestAfterDrain() float64 {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.latestAfterDrain
}

// responseReceived counts the bytes of a long-poll response, and of the same response with full tables.
func (ic *InvariantChecker) responseReceived(size, fullTableSize int) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.Bytes += size
	ic.FullTableBytes += fullTableSize
}

// sentMessage is a message of a coordinator: when it arrived, and its cost in table entries.
type sentMessage struct{ at, entries float64 }

const (
	paceWindowSeconds = 2.0 // over which the entry rate is judged
	paceTolerance     = 1.1 // what is sent evenly may arrive a little less evenly
)

// messageReceived judges the fifth rule: a message to a relay keeps the channel's limits.
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
		ic.recordViolation(ruleChannel, now, "%d messages to %s within %.0f s", count, uid, channel.MessageWindow)
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
		ic.recordViolation(ruleChannel, now, "%.0f lines within %.0f s", sum, paceWindowSeconds)
	}
}

// CheckQueue judges the peak of queued entries, as a coordinator itself counts them.
func (ic *InvariantChecker) CheckQueue(now, peak float64) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if peak > ic.rules.Channel.MaxQueued {
		ic.recordViolation(ruleChannel, now, "%.0f lines waited, at most %.0f may", peak, ic.rules.Channel.MaxQueued)
	}
}
