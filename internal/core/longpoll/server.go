// Package longpoll serves proxies by long polling: a poll names the version of the tables that its proxy holds, and is
// answered when there is a newer one or when its wait is over.
//
// It is pure: polls, times and broken connections come in as arguments, answers go out through an interface.
//
// A version consists of an epoch, which stands for one run of a coordinator, and a number that grows with every answer.
// The versions of the latest answers are remembered with the tables that they stand for. A poll that names one of them
// gets what changed since, any other poll the full state. What a proxy names it holds: that is the acknowledgement.
package longpoll

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/random"
	"snowquay/internal/core/timingwheel"
)

// Handler carries out what a Server decides.
type Handler interface {
	// Answer answers a poll. It must use the answer before it returns, since the Server reuses it.
	Answer(id PollID, answer *Answer)
	// Reject tells a poll's proxy to come back after some seconds; 0: not to come back.
	Reject(id PollID, reason RejectReason, after float64)
	// Dropped reports that a proxy is no longer joined, so that its idle connections are closed and it notices.
	Dropped(uid string)
	// Log logs an event with pairs of keys and values.
	Log(event string, pairs ...any)
}

// Limits bound the resources that a Server uses. A poll beyond one is rejected.
type Limits struct {
	MaxParked         int     // joined proxies, each with at most one parked poll
	JoinRate          float64 // joins per second, on average
	JoinBurst         float64 // joins at once
	PollRate          float64 // polls of one proxy per second, on average
	PollBurst         float64 // polls of one proxy at once
	MaxWait           float64 // seconds that a poll may wait; a longer wait is shortened to it
	PollGap           float64 // seconds between two polls of a proxy, after which it has left
	MaxUnacknowledged int     // unacknowledged answers, beyond which only drains are sent
	DrainReserve      int     // further unacknowledged answers, for drains alone
	RetryAfter        float64 // seconds after which rejected proxies come back at the earliest; they are spread over as much again
}

// DefaultLimits are the limits that the settings start from.
var DefaultLimits = Limits{
	MaxParked:         16384, // three for each of 5,000 proxies
	JoinRate:          500,   // 5,000 are back within ten seconds
	JoinBurst:         500,
	PollRate:          4, // a change a second, and as much again for lost answers
	PollBurst:         20,
	MaxWait:           55, // below the minute after which middleboxes forget a connection
	PollGap:           2.5,
	MaxUnacknowledged: 2048, // with a table of 300 entries each, 30 MB
	DrainReserve:      8192,
	RetryAfter:        1,
}

const (
	wheelTick          = 0.02 // seconds of the timing wheel; the coordinator ticks as often
	expiryScanInterval = 0.1  // seconds between two scans for proxies that have left or can be resumed
)

// Stats counts events since the start, for metrics.
type Stats struct {
	Polls, Answers, EmptyAnswers, Deltas, FullTables, Rejected, LostAnswers, Joins, Left, UnknownVersions int
}

// Server serves the long polls of one coordinator. Use New.
type Server struct {
	fleet          *controlplane.Fleet
	handler        Handler
	limits         Limits
	epoch          uint64
	lastVersion    uint64 // the newest that any proxy was given
	clients        map[string]*clientState
	byProxy        map[balancer.Proxy]*clientState
	byPoll         map[PollID]*clientState
	wheel          *timingwheel.Wheel[*clientState]
	unacknowledged int // answers that are not yet acknowledged
	joinTokens     float64
	joinsUpdatedAt float64
	lastScan       float64
	random         random.LCG
	answer         Answer // reused for every answer
	trustsVersions bool   // any named version counts as the newest (the guard is disabled)

	// Stats counts events since the start.
	Stats Stats
}

// New makes a Server for a run of the coordinator that began at a time in seconds. The epoch must differ from those of
// earlier runs and must not be 0.
func New(now float64, epoch uint64, fleet *controlplane.Fleet, handler Handler, limits Limits) *Server {
	return &Server{
		fleet:          fleet,
		handler:        handler,
		limits:         limits,
		epoch:          epoch,
		clients:        map[string]*clientState{},
		byProxy:        map[balancer.Proxy]*clientState{},
		byPoll:         map[PollID]*clientState{},
		wheel:          timingwheel.New[*clientState](now, wheelTick),
		joinTokens:     limits.JoinBurst,
		joinsUpdatedAt: now,
		random:         random.NewLCG(fleet.Site().Seed),
		trustsVersions: fleet.Site().DisabledGuards[controlplane.GuardVersions],
	}
}

// Parked reports the number of parked polls, and that of unacknowledged answers.
func (s *Server) Parked() (parked, unacknowledged int) { return len(s.byPoll), s.unacknowledged }

// Tick does what is due by time: it answers polls whose wait is over, drops proxies that have left, and resumes proxies
// that the limit of unacknowledged answers held back.
func (s *Server) Tick(now float64) {
	s.wheel.Advance(now, func(client *clientState) { s.waitOver(now, client) })
	if now-s.lastScan < expiryScanInterval {
		return
	}
	s.lastScan = now
	type dueClient struct {
		*clientState
		leaveReason string // empty: it is to be resumed
	}
	var due []dueClient
	for _, client := range s.clients {
		reason := s.leaveReason(now, client)
		if reason != "" || client.heldBack && s.unacknowledged < s.limits.MaxUnacknowledged {
			due = append(due, dueClient{clientState: client, leaveReason: reason})
		}
	}
	slices.SortFunc(due, func(a, b dueClient) int { return int(a.proxy.ID) - int(b.proxy.ID) })
	for _, client := range due {
		client.heldBack = false
		if client.leaveReason != "" {
			s.drop(now, client.clientState, client.leaveReason)
		} else if client.poll != 0 {
			s.fleet.Resume(now, client.proxy)
		}
	}
}
