package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snowquay/balancer"
)

// randomSource is a seeded source; float draws evenly from 0 to 1.
type randomSource struct{ *rand.Rand }

func newRandomSource(seed uint64) randomSource { return randomSource{rand.New(rand.NewPCG(seed, 0xc0ffee))} }

func (c randomSource) uniform() float64 { return c.Float64() }

// Rules are the figures by which the referee judges.
type Rules struct {
	Guarantees balancer.Guarantees
	Channel    balancer.Channel
	DisconnectHold       float64 // seconds after which a coordinator holds a server for gone that it does not hear of
	ObservationSlack      float64 // seconds for what stand-ins see late
}

// Verdict on one rule.
type Verdict struct {
	Rule    int
	Title   string
	Kept    bool
	Figure  string // what came closest to the limit
	Reasons []string
}

type observedServer struct {
	startedAt  float64
	up       bool
	registeredAt float64
	registered   bool // its registration was answered, on a connection that stands
	silentSince  float64
	draining bool
	withdrawnAt     float64 // when the coordinator knew that it drains or is gone; 0: it serves
}

type observedRelay struct {
	host     netip.Addr
	joinedAt float64 // 0: it is not joined
	hasEntry      []bool
	emptySince []float64 // 0: it has a line
	messageTimes []float64
}

// InvariantChecker sees what relays and servers see on their sockets, and judges the five rules by it.
type InvariantChecker struct {
	mu      sync.Mutex
	rules   Rules
	classes []Class
	servers map[netip.AddrPort]*observedServer
	relays  map[string]*observedRelay
	executedAt     map[uint64][]netip.AddrPort // servers at which an effect happened, by query

	longestEmptyTable, latestAfterDrain, peakEntryRate float64
	peakMessages, duplicateEffects             int
	overloads, unavoidableOverloads                  int
	sentMessages                              []sentMessage // lines with heads, over all relays
	violations                           [6][]string

	Requested, Answered, OnTime []float64                 // by class
	latencies                   []*hdrhistogram.Histogram // microseconds until an answer, by class
	intervals                   []interval                    // of the day, by benefit
	firstRequestAt                    float64
	ProtocolErrors              []string
	Attempts, Messages, Entries  int
	Bytes, FullTableBytes       int // of long-poll answers, and of the same with whole tables
}

type sentMessage struct{ at, entries float64 }

// interval of the day: benefit that was asked for in it, and that was answered in time.
type interval struct{ requested, onTime float64 }

const (
	intervalSeconds   = 10.0     // seconds of a part
	maxLatencyMicroseconds  = 60000000 // microseconds that are told apart; an answer that takes longer counts as that
	latencyDigits = 2        // digits to which they are told apart
)

const maxViolationExamples = 5 // of one rule that are kept as examples

// NewInvariantChecker makes a referee.
func NewInvariantChecker(rules Rules, classes []Class) *InvariantChecker {
	f := &InvariantChecker{rules: rules, classes: classes, servers: map[netip.AddrPort]*observedServer{},
		relays: map[string]*observedRelay{}, executedAt: map[uint64][]netip.AddrPort{},
		Requested: make([]float64, len(classes)), Answered: make([]float64, len(classes)), OnTime: make([]float64, len(classes))}
	for range classes {
		f.latencies = append(f.latencies, hdrhistogram.New(1, maxLatencyMicroseconds, latencyDigits))
	}
	return f
}

func (f *InvariantChecker) recordViolation(rule int, now float64, format string, args ...any) {
	if len(f.violations[rule]) < maxViolationExamples {
		f.violations[rule] = append(f.violations[rule], fmt.Sprintf("%.2f: ", now)+fmt.Sprintf(format, args...))
	}
}

func (f *InvariantChecker) recordProtocolError(now float64, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ProtocolErrors) < 100 {
		f.ProtocolErrors = append(f.ProtocolErrors, fmt.Sprintf("%.2f: ", now)+fmt.Sprintf(format, args...))
	}
}

func (f *InvariantChecker) serverState(a netip.AddrPort) *observedServer {
	s := f.servers[a]
	if s == nil {
		s = &observedServer{}
		f.servers[a] = s
	}
	return s
}

func (f *InvariantChecker) relayState(uid string) *observedRelay {
	r := f.relays[uid]
	if r == nil {
		r = &observedRelay{hasEntry: make([]bool, len(f.classes)), emptySince: make([]float64, len(f.classes))}
		f.relays[uid] = r
	}
	return r
}

func (f *InvariantChecker) serverStarted(_ float64, a netip.AddrPort, started float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serverState(a)
	s.up, s.startedAt = true, started
}

func (f *InvariantChecker) serverRegistered(now float64, a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serverState(a)
	if !s.registered {
		s.registeredAt = now
	}
	if s.registered, s.silentSince = true, 0; !s.draining {
		s.withdrawnAt = 0
	}
}

func (f *InvariantChecker) serverDisconnected(now float64, a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markSilent(now, f.serverState(a))
}

func (f *InvariantChecker) markSilent(now float64, s *observedServer) {
	if s.registered {
		s.registered, s.silentSince = false, now
	}
}

// ServerDown says that the day's script ended a server.
func (f *InvariantChecker) ServerDown(now float64, a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serverState(a)
	s.up = false
	f.markSilent(now, s)
}

// CoordinatorDown says that the script ended the coordinator: until servers register again it knows what it has kept.
func (f *InvariantChecker) CoordinatorDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.registered, s.silentSince = false, 0
	}
}

func (f *InvariantChecker) setDraining(now float64, a netip.AddrPort, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serverState(a)
	if s.draining = on; on && s.withdrawnAt == 0 {
		s.withdrawnAt = now
	} else if !on {
		s.withdrawnAt = 0
	}
}

// DrainChanged says that a drain was ordered in another way than by a member or its agent, or ended.
func (f *InvariantChecker) DrainChanged(now float64, a netip.AddrPort, on bool) { f.setDraining(now, a, on) }

// ForgetDrains says that all drains that were told are over: whoever was told them has lost them rightly.
func (f *InvariantChecker) ForgetDrains() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.draining, s.withdrawnAt = false, 0
	}
}

// Servers are the servers that anybody has named or sent to.
func (f *InvariantChecker) Servers() (all []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.servers {
		all = append(all, a)
	}
	return all
}

// LatestAfterDrain is how long after a drain the last query was sent to its server, in seconds.
func (f *InvariantChecker) LatestAfterDrain() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latestAfterDrain
}

func (f *InvariantChecker) relayJoined(now float64, uid string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.relayState(uid)
	r.joinedAt, r.messageTimes = now, nil
	for k := range r.emptySince {
		r.emptySince[k] = 0
	}
}

func (f *InvariantChecker) relayLeft(_ float64, uid string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayState(uid).joinedAt = 0
}

func (f *InvariantChecker) relayStarted(uid string, host netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayState(uid).host = host
}

// RelayDown says that the script ended a relay.
func (f *InvariantChecker) RelayDown(uid string) { f.relayLeft(0, uid) }

func (f *InvariantChecker) tableChanged(now float64, uid string, class int, has bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.relayState(uid); r.hasEntry[class] != has { // what goes by time is judged by Look
		r.hasEntry[class] = has
		f.checkEmptyTables(now)
	}
}

// checkEmptyTables judges the first rule: a joined relay without a line while an open warm server is listed.
func (f *InvariantChecker) checkEmptyTables(now float64) {
	warm := false
	for _, s := range f.servers {
		warm = warm || s.up && s.registered && !s.draining && now-s.startedAt >= f.rules.Guarantees.WarmupDuration
	}
	for uid, r := range f.relays {
		for k, has := range r.hasEntry {
			if has || !warm || r.joinedAt == 0 {
				r.emptySince[k] = 0
				continue
			}
			if r.emptySince[k] == 0 {
				r.emptySince[k] = now
			}
			f.longestEmptyTable = max(f.longestEmptyTable, now-r.emptySince[k])
			if now-r.emptySince[k] > f.rules.Guarantees.EmptyTableDeadline+f.rules.ObservationSlack {
				f.recordViolation(1, now, "%s has had no line for %s for %.2f s", uid, f.classes[k].Name, now-r.emptySince[k])
			}
		}
	}
}

// AllRelaysLed tells whether every relay is led, and whether every one was told its table since it joined.
func (f *InvariantChecker) AllRelaysLed() (led, told bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	led, told = true, true
	for _, r := range f.relays {
		led = led && r.joinedAt > 0
		told = told && r.joinedAt > 0 && len(r.messageTimes) > 0
	}
	return led, told
}

// CheckDeadlines judges what goes by time alone; it is called often.
func (f *InvariantChecker) CheckDeadlines(now float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.silentSince > 0 && s.withdrawnAt == 0 && now-s.silentSince >= f.rules.DisconnectHold {
			s.withdrawnAt = now
		}
	}
	f.checkEmptyTables(now)
}

func (f *InvariantChecker) attemptSent(now float64, uid string, a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Attempts++
	r, s := f.relayState(uid), f.serverState(a)
	if r.joinedAt == 0 || s.withdrawnAt == 0 {
		return
	}
	after := now - max(s.withdrawnAt, r.joinedAt)
	f.latestAfterDrain = max(f.latestAfterDrain, after)
	if after > f.rules.Guarantees.DrainDeadline+f.rules.ObservationSlack {
		f.recordViolation(3, now, "%s sent to %s, %.2f s after it was told to drain", uid, a, after)
	}
}

func (f *InvariantChecker) responseReceived(bytes, whole int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Bytes, f.FullTableBytes = f.Bytes+bytes, f.FullTableBytes+whole
}

func (f *InvariantChecker) messageReceived(now float64, uid string, lines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, c := f.relayState(uid), f.rules.Channel
	f.Messages++
	f.Entries += lines
	r.messageTimes = append(r.messageTimes, now)
	r.messageTimes = slices.DeleteFunc(r.messageTimes, func(t float64) bool { return t <= now-c.MessageWindow })
	f.peakMessages = max(f.peakMessages, len(r.messageTimes))
	if c.MaxMessages > 0 && len(r.messageTimes) > c.MaxMessages {
		f.recordViolation(5, now, "%d messages to %s within %.0f s", len(r.messageTimes), uid, c.MessageWindow)
	}
	f.sentMessages = append(f.sentMessages, sentMessage{now, float64(lines) + c.MessageOverhead})
	const span = 2.0 // seconds over which the pace is judged
	f.sentMessages = slices.DeleteFunc(f.sentMessages, func(s sentMessage) bool { return s.at <= now-span })
	sum, largest := 0.0, 0.0
	for _, s := range f.sentMessages {
		sum, largest = sum+s.entries, max(largest, s.entries)
	}
	f.peakEntryRate = max(f.peakEntryRate, (sum-largest)/span)
	if sum > c.EntriesPerSecond*(span+f.rules.ObservationSlack)*paceSlack+largest {
		f.recordViolation(5, now, "%.0f lines within %.0f s", sum, span)
	}
}

const roundSlackSeconds = 0.1 // seconds from a word to the round that takes it, and to a relay

const paceSlack = 1.1 // what leaves evenly may arrive a little less so

// CheckQueue takes the peak of lines that waited, as the coordinator itself counts them.
func (f *InvariantChecker) CheckQueue(now, peak float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peak > f.rules.Channel.MaxQueued {
		f.recordViolation(5, now, "%.0f lines waited, at most %.0f may", peak, f.rules.Channel.MaxQueued)
	}
}

func (f *InvariantChecker) requestExecuted(now float64, a netip.AddrPort, id uint64, c Class) {
	if c.Request.Idempotency == balancer.Idempotent {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.executedAt[id] = append(f.executedAt[id], a); len(f.executedAt[id]) > 1 {
		f.duplicateEffects++
		f.recordViolation(2, now, "a %s query took effect at %v", c.Name, f.executedAt[id])
	}
}

// senderKnowsServer tells whether a query that arrives at a server now comes from a relay that was sent a message after the
// coordinator had heard of the server's start, or whose coordinator has known of it for the grace.
func (f *InvariantChecker) senderKnowsServer(now float64, from netip.Addr, a netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serverState(a)
	for _, r := range f.relays {
		if r.host == from && r.joinedAt > 0 && s.registered {
			n := len(r.messageTimes)
			return now-s.registeredAt > f.rules.Guarantees.DrainDeadline ||
				n > 0 && r.messageTimes[n-1] > s.registeredAt+f.rules.ObservationSlack+roundSlackSeconds
		}
	}
	return false
}

// serverOverloaded judges the fourth rule: it is broken if two thirds of the work that pushed the server over came from relays
// that could know.
func (f *InvariantChecker) serverOverloaded(now float64, a netip.AddrPort, knowing float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if knowing < 2.0/3 {
		f.unavoidableOverloads++
		return
	}
	f.overloads++
	f.recordViolation(4, now, "%s was pushed over, %.1f s after its start", a, now-f.serverState(a).startedAt)
}

func (f *InvariantChecker) requestStarted(now float64, class int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Requested[class]++
	f.intervalAt(now).requested += f.classes[class].Request.PriorityWeight
}

// intervalAt of the day that a time is in.
func (f *InvariantChecker) intervalAt(at float64) *interval {
	if f.firstRequestAt == 0 {
		f.firstRequestAt = at
	}
	i := max(int((at-f.firstRequestAt)/intervalSeconds), 0)
	for len(f.intervals) <= i {
		f.intervals = append(f.intervals, interval{})
	}
	return &f.intervals[i]
}

func (f *InvariantChecker) requestAnswered(now float64, class int, took float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Answered[class]++
	if took <= f.classes[class].Request.LatencyObjective {
		f.OnTime[class]++
		f.intervalAt(now - took).onTime += f.classes[class].Request.PriorityWeight
	}
	_ = f.latencies[class].RecordValue(min(int64(took*1e6), maxLatencyMicroseconds)) // it is in its range
}

// Latencies until answers of a class, in microseconds.
func (f *InvariantChecker) Latencies(class int) *hdrhistogram.Histogram { return f.latencies[class] }

// WorstInterval is the service of the worst ten seconds, of those in which a tenth of what is usual was asked for at least. The last ones are left
// out: their queries are still under way.
func (f *InvariantChecker) WorstInterval() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, worst := 0.0, 1.0
	for _, p := range f.intervals {
		all += p.requested
	}
	for _, p := range f.intervals[:max(len(f.intervals)-1, 0)] {
		if p.requested > 0.1*all/float64(len(f.intervals)) {
			worst = min(worst, p.onTime/p.requested)
		}
	}
	return worst
}

// Service is the benefit answered within the goal time over the benefit asked for.
func (f *InvariantChecker) Service() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	got, asked := 0.0, 0.0
	for k, c := range f.classes {
		got, asked = got+f.OnTime[k]*c.Request.PriorityWeight, asked+f.Requested[k]*c.Request.PriorityWeight
	}
	return got / max(asked, 1)
}

// LatencyQuantile is the time within which that part of the answers came, in seconds.
func (f *InvariantChecker) LatencyQuantile(part float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := hdrhistogram.New(1, maxLatencyMicroseconds, latencyDigits)
	for _, h := range f.latencies {
		all.Merge(h)
	}
	if all.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(all.ValueAtQuantile(part*100)) / 1e6
}

// Verdicts on all five rules.
func (f *InvariantChecker) Verdicts() []Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, c := f.rules.Guarantees, f.rules.Channel
	all := []Verdict{
		{1, "no relay without a line", false, fmt.Sprintf("longest %.2f s of %.2f s", f.longestEmptyTable, p.EmptyTableDeadline), nil},
		{2, "no effect twice", false, fmt.Sprintf("%d doubled of %d", f.duplicateEffects, len(f.executedAt)), nil},
		{3, "drains kept", false, fmt.Sprintf("last query %.2f s after the drain, %.2f s allowed", f.latestAfterDrain, p.DrainDeadline), nil},
		{4, "no cold server pushed over", false, fmt.Sprintf("%d fell, %d more before relays could know", f.overloads, f.unavoidableOverloads), nil},
		{5, "queue and messages within limits", false, fmt.Sprintf("busiest %.0f of %.0f lines a second, %d of %d messages",
			f.peakEntryRate, c.EntriesPerSecond, f.peakMessages, c.MaxMessages), nil},
	}
	for i := range all {
		all[i].Reasons = f.violations[all[i].Rule]
		all[i].Kept = len(all[i].Reasons) == 0
	}
	return all
}
