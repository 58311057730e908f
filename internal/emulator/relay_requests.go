package emulator

import (
	"math"
	"net/netip"
	"slices"

	"snowquay/balancer"
)

// request is a request of a client.
type request struct {
	id            uint64
	class         int
	key           uint32
	work          float64 // seconds on a core of speed 1
	arrivedAt     float64 // arrival time of the client's first request for this work
	clientRetries int     // number of earlier requests of the client for this work
	attempts      int     // number of attempts
	triedServers  []netip.AddrPort
	completed     bool // answered or failed
}

// attempt is an attempt to execute a request on a server.
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
	req := &request{
		id:        r.lastRequest,
		class:     class,
		key:       key,
		arrivedAt: now,
		work:      r.Classes[class].MeanWork * (0.5 + r.random.uniform()),
	}
	r.checker.requestStarted(now, class)
	r.admit(now, req)
}

func (r *Relay) drawKey() uint32 {
	position := r.random.uniform()
	if r.KeyPopularity == nil {
		return uint32(position * float64(r.KeyCount))
	}
	key, _ := slices.BinarySearch(r.KeyPopularity, position)
	return uint32(key)
}

// admit starts a request, or rejects it at random by the admitted fraction of its class.
func (r *Relay) admit(now float64, req *request) {
	r.demand[req.class].Attempts++
	if r.random.uniform() >= r.admission[req.class] {
		r.scheduleClientRetry(now, req)
		return
	}
	r.startAttempt(now, req)
}

// patience returns the total time in seconds that a client waits for an answer, including its retries.
func (r *Relay) patience(req *request) float64 {
	timeout := r.Classes[req.class].Request.ClientTimeout
	if r.PatienceFraction > 0 {
		timeout *= r.PatienceFraction
	}
	return timeout
}

// scheduleClientRetry lets the client of a failed request send another one with the same work. The new request has its own
// ID, because the guarantee of at most one execution does not cover retries by clients.
func (r *Relay) scheduleClientRetry(now float64, req *request) {
	req.completed = true
	if req.clientRetries >= r.ClientRetries || now+r.ClientRetryDelay-req.arrivedAt > r.patience(req) {
		return
	}
	r.lastRequest++
	r.lastClientRetry++
	r.clientRetries[r.lastClientRetry] = &request{
		id:            r.lastRequest,
		class:         req.class,
		key:           req.key,
		arrivedAt:     req.arrivedAt,
		work:          req.work,
		clientRetries: req.clientRetries + 1,
	}
	r.io.SetTimer(now+r.ClientRetryDelay*(0.5+r.random.uniform()), firstClientRetryTimer+r.lastClientRetry)
}

func (r *Relay) startAttempt(now float64, req *request) {
	server, ok := r.pickServer(now, req)
	if !ok {
		r.requestFailed(now, req)
		return
	}
	chosen := r.targets[server]
	if chosen == nil {
		chosen = &target{}
		r.targets[server] = chosen
	}
	req.attempts++
	req.triedServers = append(req.triedServers, server)
	r.lastAttempt++
	started := &attempt{request: req, number: r.lastAttempt, server: server, sentAt: now}
	r.attempts[started.number] = started
	r.attemptByRequest[req.id] = started
	chosen.totals.Attempts++
	chosen.inFlight++
	r.checker.attemptSent(now, r.UID, server)
	r.io.SetTimer(now+r.Classes[req.class].Request.LatencyObjective, started.number)
	if chosen.conn == 0 {
		chosen.conn = r.io.Dial(server)
		chosen.open = false
		r.serverByConn[chosen.conn] = server
	}
	if chosen.open {
		r.transmit(chosen, started)
		return
	}
	chosen.queued = append(chosen.queued, started)
}

// transmit sends the request of an attempt, unless the attempt has ended.
func (r *Relay) transmit(to *target, sent *attempt) {
	if r.attempts[sent.number] == sent {
		r.io.Send(to.conn, appendRequest(nil, sent.id, sent.class, sent.key, sent.work))
	}
}

// attemptTimedOut cancels an attempt that has exceeded its timeout.
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

// openAttempts returns the numbers of a server's open attempts, in the order in which they started.
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

// attemptEnded handles the outcome of an attempt, and retries the request if the retry policy of its class allows it.
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

func (r *Relay) requestAnswered(now float64, req *request) {
	if req.completed {
		return
	}
	req.completed = true
	latency := now - req.arrivedAt
	if latency > r.patience(req) { // the client has given up
		return
	}
	r.checker.requestAnswered(now, req.class, latency)
}

func (r *Relay) requestFailed(now float64, req *request) {
	r.demand[req.class].Failed++
	r.scheduleClientRetry(now, req)
}
