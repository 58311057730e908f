package emulator

import (
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/env"
)

const (
	failFastSeconds      = 0.005 // delay before the response to a request that fails immediately
	heavyTailFactor      = 10.0  // factor applied to the work of a heavy-tail request
	overloadSlackSeconds = 0.25  // work on a core of speed 1 that is tolerated over the limit, because of random bursts
)

// job is a unit of work of a server: a request or the setup of a connection.
type job struct {
	conn            env.Conn
	id              uint64
	class           int     // class index; -1 minus the index for a request that fails immediately
	work            float64 // seconds on a core of speed 1
	from            netip.Addr
	key             uint32
	http            bool // the request was received over HTTP
	connectionSetup bool
}

// warmupArrival is a request that arrived while the server was warming up.
type warmupArrival struct {
	at                float64
	work              float64
	senderKnowsServer bool // the relay could know of the server and its warm-up
}

// capacityFraction returns the fraction of its full capacity that the server currently has.
func (s *Server) capacityFraction(now float64) float64 {
	uptime := now - s.startedAt
	if uptime >= s.WarmupDuration {
		return 1
	}
	return s.WarmupFraction + (1-s.WarmupFraction)*uptime/s.WarmupDuration
}

func (s *Server) handleRequest(now float64, request job) {
	if s.overloaded {
		return
	}
	s.checkOverload(now, request)
	if s.Hanging {
		return
	}
	if s.random.uniform() < s.ErrorProbability {
		s.failAfter(now, failFastSeconds, request)
		return
	}
	if s.isDuplicate(now, request) { // it is answered like the first, without being executed
		s.reply(request, answered)
		return
	}
	if !s.admit(now, request) {
		s.reply(request, rejected)
	}
}

// isDuplicate reports whether the failure domain has accepted the request within its deduplication window. If not, and if
// the server has room for the request, it records the request as accepted.
func (s *Server) isDuplicate(now float64, request job) bool {
	class := s.Classes[request.class].Request
	if class.Idempotency == balancer.Idempotent {
		return false
	}
	acceptedAt, accepted := s.FailureDomain.accepted[request.id]
	if accepted && now-acceptedAt < class.DedupWindow {
		return true
	}
	if len(s.waiting) < s.QueueCapacity || len(s.running) < s.Cores {
		s.FailureDomain.accepted[request.id] = now
	}
	return false
}

// admit starts or queues a job. It returns false if the queue is full.
func (s *Server) admit(now float64, admitted job) bool {
	if len(s.running) < s.Cores {
		s.startJob(now, admitted)
		return true
	}
	if len(s.waiting) < s.QueueCapacity {
		s.waiting = append(s.waiting, admitted)
		return true
	}
	return false
}

// cancel removes a queued request, and ends a running one if CancelsWork is set.
func (s *Server) cancel(now float64, conn env.Conn, id uint64) {
	matches := func(j job) bool { return j.conn == conn && j.id == id && !j.connectionSetup }
	if i := slices.IndexFunc(s.waiting, matches); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if !s.CancelsWork {
		return
	}
	for number, running := range s.running {
		if matches(running) && running.class >= 0 {
			delete(s.running, number)
			s.startNext(now)
			return
		}
	}
}

// cacheKey reports whether a key is cached, and caches it.
func (s *Server) cacheKey(now float64, key uint32) bool {
	if s.KeyCacheSize == 0 {
		return false
	}
	if s.keyUsedAt == nil {
		s.keyUsedAt = map[uint32]float64{}
	}
	usedAt, known := s.keyUsedAt[key]
	if !known {
		if len(s.keyOrder) >= s.KeyCacheSize {
			delete(s.keyUsedAt, s.keyOrder[0])
			s.keyOrder = s.keyOrder[1:]
		}
		s.keyOrder = append(s.keyOrder, key)
	}
	s.keyUsedAt[key] = now
	return known && now-usedAt < s.KeyCacheDuration
}

func (s *Server) failAfter(now, delay float64, request job) {
	s.lastJob++
	request.class = -1 - request.class
	s.running[s.lastJob] = request
	s.io.SetTimer(now+delay, s.lastJob)
}

func (s *Server) startJob(now float64, started job) {
	s.lastJob++
	s.running[s.lastJob] = started
	work := started.work * s.SlowdownFactor * (1 + s.agingSlowdown)
	s.agingSlowdown += s.AgingPerRequest
	if s.AgingPerRequest == 0 {
		s.agingSlowdown = 0
	}
	if !started.connectionSetup && s.cacheKey(now, started.key) {
		work *= 1 - s.KeyCacheSaving
	}
	if s.HeavyTailProbability > 0 && s.random.uniform() < s.HeavyTailProbability {
		work *= heavyTailFactor
	}
	s.io.SetTimer(now+work/(s.Speed*s.capacityFraction(now)), s.lastJob)
}

// checkOverload adds up the work that arrives while the server warms up. Too much work within the window stops the server.
func (s *Server) checkOverload(now float64, request job) {
	if now-s.startedAt >= s.WarmupDuration {
		s.warmupArrivals = nil
		return
	}
	s.warmupArrivals = append(s.warmupArrivals, warmupArrival{
		at:                now,
		work:              request.work,
		senderKnowsServer: s.checker.senderKnowsServer(now, request.from, s.Addr),
	})
	sum := 0.0
	avoidable := 0.0
	for _, arrival := range slices.Backward(s.warmupArrivals) {
		if now-arrival.at > s.OverloadWindow {
			break
		}
		sum += arrival.work
		if arrival.senderKnowsServer {
			avoidable += arrival.work
		}
	}
	if sum > s.OverloadFactor*s.capacityFraction(now)*float64(s.Cores)*s.Speed*s.OverloadWindow+overloadSlackSeconds {
		s.overloaded = true
		s.checker.serverOverloaded(now, s.Addr, avoidable/sum)
		s.OnOverload()
	}
}

func (s *Server) finishJob(now float64, number int) {
	finished, ok := s.running[number]
	if !ok {
		return
	}
	delete(s.running, number)
	s.replyFinished(now, finished)
	s.startNext(now)
}

func (s *Server) replyFinished(now float64, finished job) {
	if finished.class < 0 {
		s.reply(finished, failed)
		return
	}
	if finished.connectionSetup {
		return
	}
	s.checker.requestExecuted(now, s.Addr, finished.id, s.Classes[finished.class])
	if s.ResponseLossProbability == 0 || s.random.uniform() >= s.ResponseLossProbability {
		s.reply(finished, answered)
	}
}

// startNext starts the job at the head of the queue if a core is free.
func (s *Server) startNext(now float64) {
	if len(s.waiting) == 0 || len(s.running) >= s.Cores {
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.startJob(now, next)
}
