package emulator

import (
	"math"
	"net/netip"
	"slices"

	"snowquay/balancer"
)

// request of a client.
type request struct {
	id            uint64
	class         int
	key           uint32
	work          float64 // seconds on a core of speed 1
	arrivedAt     float64 // of the client's first try
	clientRetries int     // by the client, as other requests
	attempts      int
	triedServers  []netip.AddrPort
	completed     bool
}

// attempt to have a request answered by a server.
type attempt struct {
	*request
	number int
	server netip.AddrPort
	sentAt float64
}

func (r *Relay) scheduleArrival(now float64) {
	rate := max(r.Rate*r.LoadFactor, minRate)
	r.io.SetTimer(now-math.Log(1-r.random.uniform())/rate, relayArrivalTimer)
}

func (r *Relay) newRequest(now float64) {
	class := drawClass(r.random, r.Classes)
	r.lastRequest++
	key := r.drawKey()
	arrived := &request{
		id:        r.lastRequest,
		class:     class,
		key:       key,
		arrivedAt: now,
		work:      r.Classes[class].MeanWork * (0.5 + r.random.uniform()),
	}
	r.checker.requestStarted(now, class)
	r.admit(now, arrived)
}

func (r *Relay) drawKey() uint32 {
	position := r.random.uniform()
	if r.KeyPopularity == nil {
		return uint32(position * float64(r.KeyCount))
	}
	key, _ := slices.BinarySearch(r.KeyPopularity, position)
	return uint32(key)
}

// admit starts a request or refuses it at once, by the admitted share of its class.
func (r *Relay) admit(now float64, admitted *request) {
	r.demand[admitted.class].Attempts++
	if r.random.uniform() >= r.admission[admitted.class] {
		r.scheduleClientRetry(now, admitted)
		return
	}
	r.startAttempt(now, admitted)
}

// patience returns how long a client waits for an answer in all, in seconds.
func (r *Relay) patience(q *request) float64 {
	timeout := r.Classes[q.class].Request.ClientTimeout
	if r.PatienceFraction > 0 {
		timeout *= r.PatienceFraction
	}
	return timeout
}

// scheduleClientRetry lets the client of a failed request send another one with the same work. It is a request of its
// own: the guarantee of one effect does not cover what clients repeat.
func (r *Relay) scheduleClientRetry(now float64, ended *request) {
	ended.completed = true
	if ended.clientRetries >= r.ClientRetries || now+r.ClientRetryDelay-ended.arrivedAt > r.patience(ended) {
		return
	}
	r.lastRequest++
	r.lastClientRetry++
	r.clientRetries[r.lastClientRetry] = &request{
		id:            r.lastRequest,
		class:         ended.class,
		key:           ended.key,
		arrivedAt:     ended.arrivedAt,
		work:          ended.work,
		clientRetries: ended.clientRetries + 1,
	}
	r.io.SetTimer(now+r.ClientRetryDelay*(0.5+r.random.uniform()), firstClientRetryTimer+r.lastClientRetry)
}

func (r *Relay) startAttempt(now float64, admitted *request) {
	server, ok := r.pickServer(now, admitted)
	if !ok {
		r.requestFailed(now, admitted)
		return
	}
	chosen := r.targets[server]
	if chosen == nil {
		chosen = &target{}
		r.targets[server] = chosen
	}
	admitted.attempts++
	admitted.triedServers = append(admitted.triedServers, server)
	r.lastAttempt++
	started := &attempt{request: admitted, number: r.lastAttempt, server: server, sentAt: now}
	r.attempts[started.number] = started
	r.attemptByRequest[admitted.id] = started
	chosen.totals.Attempts++
	chosen.inFlight++
	r.checker.attemptSent(now, r.UID, server)
	r.io.SetTimer(now+r.Classes[admitted.class].Request.LatencyObjective, started.number)
	if chosen.conn == 0 {
		chosen.conn = r.io.Dial(server)
		chosen.open = false
		r.byConn[chosen.conn] = server
	}
	if chosen.open {
		r.transmit(chosen, started)
		return
	}
	chosen.queued = append(chosen.queued, started)
}

// transmit sends an attempt, unless it has ended.
func (r *Relay) transmit(to *target, sent *attempt) {
	if r.attempts[sent.number] == sent {
		r.io.Send(to.conn, appendRequest(nil, sent.id, sent.class, sent.key, sent.work))
	}
}

// attemptTimedOut cancels an attempt that has taken too long.
func (r *Relay) attemptTimedOut(now float64, number int) {
	late := r.attempts[number]
	if late == nil {
		return
	}
	if target := r.targets[late.server]; target != nil && target.open {
		r.io.Send(target.conn, appendRequest(nil, late.id, cancelledClass, 0, 0))
	}
	r.attemptEnded(now, late, failed)
}

// openAttempts returns the numbers of a server's attempts in the order in which they started.
func (r *Relay) openAttempts(server netip.AddrPort) []int {
	var numbers []int
	for number, open := range r.attempts {
		if open.server == server {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// attemptEnded takes the outcome of an attempt, and retries where the class's policy allows it.
func (r *Relay) attemptEnded(now float64, ended *attempt, result outcome) {
	if r.attempts[ended.number] != ended {
		return
	}
	delete(r.attempts, ended.number)
	delete(r.attemptByRequest, ended.id)
	target := r.targets[ended.server]
	target.inFlight--
	if result == answered {
		target.failures = 0
		target.totals.LatencySum += now - ended.sentAt
		r.requestAnswered(now, ended.request)
		return
	}
	target.totals.Failed++
	target.failures++
	if r.EjectAfter > 0 && target.failures >= r.EjectAfter {
		target.failures = 0
		target.ejectedUntil = now + r.EjectDuration
	}
	policy := r.retryPolicies[ended.class]
	mayRetry := result == rejected || policy >= balancer.RetryOnce
	if mayRetry && ended.attempts <= maxRetries(policy) {
		r.startAttempt(now, ended.request)
		return
	}
	r.requestFailed(now, ended.request)
}

func maxRetries(policy balancer.RetryPolicy) int {
	switch policy {
	case balancer.RetryIfNotExecuted, balancer.RetryOnce:
		return 1
	case balancer.RetryTwice:
		return 2
	default:
		return 0
	}
}

func (r *Relay) requestAnswered(now float64, finished *request) {
	if finished.completed {
		return
	}
	finished.completed = true
	latency := now - finished.arrivedAt
	if latency > r.patience(finished) { // its client has left
		return
	}
	r.checker.requestAnswered(now, finished.class, latency)
}

func (r *Relay) requestFailed(now float64, lost *request) {
	r.demand[lost.class].Failed++
	r.scheduleClientRetry(now, lost)
}
