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

// chance is a seeded source; float draws evenly from 0 to 1.
type chance struct{ *rand.Rand }

func newChance(seed uint64) chance { return chance{rand.New(rand.NewPCG(seed, 0xc0ffee))} }

func (c chance) float() float64 { return c.Float64() }

// Rules are the figures by which the referee judges.
type Rules struct {
	Guarantees balancer.Guarantees
	Channel    balancer.Channel
	Hold       float64 // seconds after which a coordinator holds a server for gone that it does not hear of
	Slack      float64 // seconds for what stand-ins see late
}

// Verdict on one rule.
type Verdict struct {
	Rule    int
	Title   string
	Kept    bool
	Figure  string // what came closest to the limit
	Reasons []string
}

type seenServer struct {
	started  float64
	up       bool
	listedAt float64
	listed   bool // its registration was answered, on a connection that stands
	unheard  float64
	draining bool
	told     float64 // when the coordinator knew that it drains or is gone; 0: it serves
}

type seenRelay struct {
	host     netip.Addr
	joinedAt float64 // 0: it is not joined
	has      []bool
	bareFrom []float64 // 0: it has a line
	messages []float64
}

// InvariantChecker sees what relays and servers see on their sockets, and judges the five rules by it.
type InvariantChecker struct {
	mu      sync.Mutex
	rules   Rules
	classes []Class
	servers map[netip.AddrPort]*seenServer
	relays  map[string]*seenRelay
	ran     map[uint64][]netip.AddrPort // servers at which an effect happened, by query

	longestBare, latestDrain, busiest float64
	mostMessages, doubled             int
	falls, unknowing                  int
	sent                              []stamp // lines with heads, over all relays
	reasons                           [6][]string

	Asked, Answered, InTime []float64                 // by class
	times                   []*hdrhistogram.Histogram // microseconds until an answer, by class
	parts                   []part                    // of the day, by benefit
	from                    float64
	Complaints              []string
	Tries, Messages, Lines  int
	Bytes, WholeBytes       int // of long-poll answers, and of the same with whole tables
}

type stamp struct{ at, lines float64 }

// part of the day: benefit that was asked for in it, and that was answered in time.
type part struct{ asked, got float64 }

const (
	partFor   = 10.0     // seconds of a part
	mostTook  = 60000000 // microseconds that are told apart; an answer that takes longer counts as that
	tookExact = 2        // digits to which they are told apart
)

const mostReasons = 5 // of one rule that are kept as examples

// NewInvariantChecker makes a referee.
func NewInvariantChecker(rules Rules, classes []Class) *InvariantChecker {
	f := &InvariantChecker{rules: rules, classes: classes, servers: map[netip.AddrPort]*seenServer{},
		relays: map[string]*seenRelay{}, ran: map[uint64][]netip.AddrPort{},
		Asked: make([]float64, len(classes)), Answered: make([]float64, len(classes)), InTime: make([]float64, len(classes))}
	for range classes {
		f.times = append(f.times, hdrhistogram.New(1, mostTook, tookExact))
	}
	return f
}

func (f *InvariantChecker) broken(rule int, now float64, format string, args ...any) {
	if len(f.reasons[rule]) < mostReasons {
		f.reasons[rule] = append(f.reasons[rule], fmt.Sprintf("%.2f: ", now)+fmt.Sprintf(format, args...))
	}
}

func (f *InvariantChecker) complain(now float64, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.Complaints) < 100 {
		f.Complaints = append(f.Complaints, fmt.Sprintf("%.2f: ", now)+fmt.Sprintf(format, args...))
	}
}

func (f *InvariantChecker) server(a netip.AddrPort) *seenServer {
	s := f.servers[a]
	if s == nil {
		s = &seenServer{}
		f.servers[a] = s
	}
	return s
}

func (f *InvariantChecker) relay(uid string) *seenRelay {
	r := f.relays[uid]
	if r == nil {
		r = &seenRelay{has: make([]bool, len(f.classes)), bareFrom: make([]float64, len(f.classes))}
		f.relays[uid] = r
	}
	return r
}

func (f *InvariantChecker) serverUp(_ float64, a netip.AddrPort, started float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(a)
	s.up, s.started = true, started
}

func (f *InvariantChecker) serverListed(now float64, a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(a)
	if !s.listed {
		s.listedAt = now
	}
	if s.listed, s.unheard = true, 0; !s.draining {
		s.told = 0
	}
}

func (f *InvariantChecker) serverUnheard(now float64, a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone(now, f.server(a))
}

func (f *InvariantChecker) gone(now float64, s *seenServer) {
	if s.listed {
		s.listed, s.unheard = false, now
	}
}

// ServerDown says that the day's script ended a server.
func (f *InvariantChecker) ServerDown(now float64, a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(a)
	s.up = false
	f.gone(now, s)
}

// CoordinatorDown says that the script ended the coordinator: until servers register again it knows what it has kept.
func (f *InvariantChecker) CoordinatorDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.listed, s.unheard = false, 0
	}
}

func (f *InvariantChecker) drain(now float64, a netip.AddrPort, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(a)
	if s.draining = on; on && s.told == 0 {
		s.told = now
	} else if !on {
		s.told = 0
	}
}

// Drained says that a drain was ordered in another way than by a member or its agent, or ended.
func (f *InvariantChecker) Drained(now float64, a netip.AddrPort, on bool) { f.drain(now, a, on) }

// Forget says that all drains that were told are over: whoever was told them has lost them rightly.
func (f *InvariantChecker) Forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.draining, s.told = false, 0
	}
}

// Named are the servers that anybody has named or sent to.
func (f *InvariantChecker) Named() (all []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.servers {
		all = append(all, a)
	}
	return all
}

// Latest is how long after a drain the last query was sent to its server, in seconds.
func (f *InvariantChecker) Latest() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latestDrain
}

func (f *InvariantChecker) joined(now float64, uid string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.relay(uid)
	r.joinedAt, r.messages = now, nil
	for k := range r.bareFrom {
		r.bareFrom[k] = 0
	}
}

func (f *InvariantChecker) left(_ float64, uid string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay(uid).joinedAt = 0
}

func (f *InvariantChecker) relayAt(uid string, host netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay(uid).host = host
}

// RelayDown says that the script ended a relay.
func (f *InvariantChecker) RelayDown(uid string) { f.left(0, uid) }

func (f *InvariantChecker) lines(now float64, uid string, class int, has bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.relay(uid); r.has[class] != has { // what goes by time is judged by Look
		r.has[class] = has
		f.bare(now)
	}
}

// bare judges the first rule: a joined relay without a line while an open warm server is listed.
func (f *InvariantChecker) bare(now float64) {
	warm := false
	for _, s := range f.servers {
		warm = warm || s.up && s.listed && !s.draining && now-s.started >= f.rules.Guarantees.WarmupDuration
	}
	for uid, r := range f.relays {
		for k, has := range r.has {
			if has || !warm || r.joinedAt == 0 {
				r.bareFrom[k] = 0
				continue
			}
			if r.bareFrom[k] == 0 {
				r.bareFrom[k] = now
			}
			f.longestBare = max(f.longestBare, now-r.bareFrom[k])
			if now-r.bareFrom[k] > f.rules.Guarantees.EmptyTableDeadline+f.rules.Slack {
				f.broken(1, now, "%s has had no line for %s for %.2f s", uid, f.classes[k].Name, now-r.bareFrom[k])
			}
		}
	}
}

// AllLed tells whether every relay is led, and whether every one was told its table since it joined.
func (f *InvariantChecker) AllLed() (led, told bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	led, told = true, true
	for _, r := range f.relays {
		led = led && r.joinedAt > 0
		told = told && r.joinedAt > 0 && len(r.messages) > 0
	}
	return led, told
}

// Look judges what goes by time alone; it is called often.
func (f *InvariantChecker) Look(now float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.unheard > 0 && s.told == 0 && now-s.unheard >= f.rules.Hold {
			s.told = now
		}
	}
	f.bare(now)
}

func (f *InvariantChecker) try(now float64, uid string, a netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Tries++
	r, s := f.relay(uid), f.server(a)
	if r.joinedAt == 0 || s.told == 0 {
		return
	}
	after := now - max(s.told, r.joinedAt)
	f.latestDrain = max(f.latestDrain, after)
	if after > f.rules.Guarantees.DrainDeadline+f.rules.Slack {
		f.broken(3, now, "%s sent to %s, %.2f s after it was told to drain", uid, a, after)
	}
}

func (f *InvariantChecker) weigh(bytes, whole int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Bytes, f.WholeBytes = f.Bytes+bytes, f.WholeBytes+whole
}

func (f *InvariantChecker) message(now float64, uid string, lines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, c := f.relay(uid), f.rules.Channel
	f.Messages++
	f.Lines += lines
	r.messages = append(r.messages, now)
	r.messages = slices.DeleteFunc(r.messages, func(t float64) bool { return t <= now-c.MessageWindow })
	f.mostMessages = max(f.mostMessages, len(r.messages))
	if c.MaxMessages > 0 && len(r.messages) > c.MaxMessages {
		f.broken(5, now, "%d messages to %s within %.0f s", len(r.messages), uid, c.MessageWindow)
	}
	f.sent = append(f.sent, stamp{now, float64(lines) + c.MessageOverhead})
	const span = 2.0 // seconds over which the pace is judged
	f.sent = slices.DeleteFunc(f.sent, func(s stamp) bool { return s.at <= now-span })
	sum, largest := 0.0, 0.0
	for _, s := range f.sent {
		sum, largest = sum+s.lines, max(largest, s.lines)
	}
	f.busiest = max(f.busiest, (sum-largest)/span)
	if sum > c.EntriesPerSecond*(span+f.rules.Slack)*paceSlack+largest {
		f.broken(5, now, "%.0f lines within %.0f s", sum, span)
	}
}

const roundSlack = 0.1 // seconds from a word to the round that takes it, and to a relay

const paceSlack = 1.1 // what leaves evenly may arrive a little less so

// Queue takes the peak of lines that waited, as the coordinator itself counts them.
func (f *InvariantChecker) Queue(now, peak float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peak > f.rules.Channel.MaxQueued {
		f.broken(5, now, "%.0f lines waited, at most %.0f may", peak, f.rules.Channel.MaxQueued)
	}
}

func (f *InvariantChecker) effect(now float64, a netip.AddrPort, id uint64, c Class) {
	if c.Query.Idempotency == balancer.Idempotent {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ran[id] = append(f.ran[id], a); len(f.ran[id]) > 1 {
		f.doubled++
		f.broken(2, now, "a %s query took effect at %v", c.Name, f.ran[id])
	}
}

// knows tells whether a query that arrives at a server now comes from a relay that was sent a message after the
// coordinator had heard of the server's start, or whose coordinator has known of it for the grace.
func (f *InvariantChecker) knows(now float64, from netip.Addr, a netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(a)
	for _, r := range f.relays {
		if r.host == from && r.joinedAt > 0 && s.listed {
			n := len(r.messages)
			return now-s.listedAt > f.rules.Guarantees.DrainDeadline ||
				n > 0 && r.messages[n-1] > s.listedAt+f.rules.Slack+roundSlack
		}
	}
	return false
}

// fell judges the fourth rule: it is broken if two thirds of the work that pushed the server over came from relays
// that could know.
func (f *InvariantChecker) fell(now float64, a netip.AddrPort, knowing float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if knowing < 2.0/3 {
		f.unknowing++
		return
	}
	f.falls++
	f.broken(4, now, "%s was pushed over, %.1f s after its start", a, now-f.server(a).started)
}

func (f *InvariantChecker) asked(now float64, class int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Asked[class]++
	f.part(now).asked += f.classes[class].Query.PriorityWeight
}

// part of the day that a time is in.
func (f *InvariantChecker) part(at float64) *part {
	if f.from == 0 {
		f.from = at
	}
	i := max(int((at-f.from)/partFor), 0)
	for len(f.parts) <= i {
		f.parts = append(f.parts, part{})
	}
	return &f.parts[i]
}

func (f *InvariantChecker) answered(now float64, class int, took float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Answered[class]++
	if took <= f.classes[class].Query.LatencyObjective {
		f.InTime[class]++
		f.part(now - took).got += f.classes[class].Query.PriorityWeight
	}
	_ = f.times[class].RecordValue(min(int64(took*1e6), mostTook)) // it is in its range
}

// Times until answers of a class, in microseconds.
func (f *InvariantChecker) Times(class int) *hdrhistogram.Histogram { return f.times[class] }

// Worst is the service of the worst ten seconds, of those in which a tenth of what is usual was asked for at least. The last ones are left
// out: their queries are still under way.
func (f *InvariantChecker) Worst() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, worst := 0.0, 1.0
	for _, p := range f.parts {
		all += p.asked
	}
	for _, p := range f.parts[:max(len(f.parts)-1, 0)] {
		if p.asked > 0.1*all/float64(len(f.parts)) {
			worst = min(worst, p.got/p.asked)
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
		got, asked = got+f.InTime[k]*c.Query.PriorityWeight, asked+f.Asked[k]*c.Query.PriorityWeight
	}
	return got / max(asked, 1)
}

// Tail is the time within which that part of the answers came, in seconds.
func (f *InvariantChecker) Tail(part float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := hdrhistogram.New(1, mostTook, tookExact)
	for _, h := range f.times {
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
		{1, "no relay without a line", false, fmt.Sprintf("longest %.2f s of %.2f s", f.longestBare, p.EmptyTableDeadline), nil},
		{2, "no effect twice", false, fmt.Sprintf("%d doubled of %d", f.doubled, len(f.ran)), nil},
		{3, "drains kept", false, fmt.Sprintf("last query %.2f s after the drain, %.2f s allowed", f.latestDrain, p.DrainDeadline), nil},
		{4, "no cold server pushed over", false, fmt.Sprintf("%d fell, %d more before relays could know", f.falls, f.unknowing), nil},
		{5, "queue and messages within limits", false, fmt.Sprintf("busiest %.0f of %.0f lines a second, %d of %d messages",
			f.busiest, c.EntriesPerSecond, f.mostMessages, c.MaxMessages), nil},
	}
	for i := range all {
		all[i].Reasons = f.reasons[all[i].Rule]
		all[i].Kept = len(all[i].Reasons) == 0
	}
	return all
}
