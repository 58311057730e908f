// Package longpoll serves proxies by long polling: a poll names the version of the tables that its proxy holds, and is
// answered when there is a newer version or when its wait has expired.
//
// The package does no I/O and reads no clock: polls, times and closed connections are passed in as arguments, and
// answers are passed to an interface.
//
// A version consists of an epoch, which identifies one run of a coordinator, and a number that increases with every
// answer. For each proxy, the versions of the latest answers are stored together with the states of the tables that
// they stand for. A poll that names a stored version is answered with the changes since, any other poll with the full
// state. A proxy names the version that it holds, so a poll also acknowledges the answer with that version.
package longpoll

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/random"
	"snowquay/internal/core/timingwheel"
)

// Handler sends the answers and rejections of a Server.
type Handler interface {
	// Answer answers a poll. It must not retain the answer, which the Server reuses.
	Answer(id PollID, answer *Answer)
	// Reject rejects a poll. The proxy may poll again after some seconds; 0: it is not to poll again.
	Reject(id PollID, reason RejectReason, after float64)
	// Dropped reports that a proxy is no longer joined. Its idle connections must be closed, so that it notices.
	Dropped(uid string)
	// Log logs an event with pairs of keys and values.
	Log(event string, pairs ...any)
}

// Limits bound the resources that a Server uses. A poll that would exceed a limit is rejected.
type Limits struct {
	MaxParked         int     // joined proxies, each with at most one parked poll
	JoinRate          float64 // joins per second, on average
	JoinBurst         float64 // joins at once
	PollRate          float64 // polls of one proxy per second, on average
	PollBurst         float64 // polls of one proxy at once
	MaxWait           float64 // seconds for which a poll may be parked; longer waits are shortened
	PollGap           float64 // seconds without a poll after which a proxy is considered to have left
	MaxUnacknowledged int     // unacknowledged answers beyond which only drains are sent
	DrainReserve      int     // further unacknowledged answers, for drains only
	RetryAfter        float64 // shortest delay in seconds before a rejected proxy may retry; the longest delay is twice that
}

// DefaultLimits are the limits that apply unless the settings override them.
var DefaultLimits = Limits{
	MaxParked:         16384, // three for each of 5,000 proxies
	JoinRate:          500,   // 5,000 proxies can rejoin within ten seconds
	JoinBurst:         500,
	PollRate:          4, // one change per second, and as much again for lost answers
	PollBurst:         20,
	MaxWait:           55, // less than the minute after which middleboxes drop idle connections
	PollGap:           2.5,
	MaxUnacknowledged: 2048, // 30 MB with a table of 300 entries each
	DrainReserve:      8192,
	RetryAfter:        1,
}

const (
	wheelTick          = 0.02 // resolution of the timing wheel in seconds; the coordinator calls Tick as often
	expiryScanInterval = 0.1  // seconds between two scans for proxies that have left or can be resumed
)

// Stats counts events since the start, for metrics. EmptyAnswers have no classes; Deltas and FullTables count classes
// in answers; LostAnswers were not acknowledged by the next poll; UnknownVersions counts polls that named no stored
// version although the proxy had been sent a version or named one.
type Stats struct {
	Polls, Answers, EmptyAnswers, Deltas, FullTables, Rejected, LostAnswers, Joins, Left, UnknownVersions int
}

// Server serves the long polls of one coordinator. Use New.
type Server struct {
	fleet          *controlplane.Fleet
	handler        Handler
	limits         Limits
	epoch          uint64
	lastVersion    uint64 // latest version number that was sent to any proxy
	clients        map[string]*clientState
	byProxy        map[balancer.Proxy]*clientState
	byPoll         map[PollID]*clientState
	wheel          *timingwheel.Wheel[*clientState]
	unacknowledged int // number of answers that are not yet acknowledged
	joinTokens     float64
	joinsUpdatedAt float64
	lastScan       float64
	random         random.LCG
	answer         Answer // reused for every answer
	trustsVersions bool   // GuardVersions is disabled: any version that a poll names counts as the latest

	// Stats counts events since the start.
	Stats Stats
}

// New returns a Server for a run of the coordinator that starts at the clock time now in seconds. The epoch must not be
// 0 and must differ from the epochs of earlier runs.
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

// Parked returns the number of parked polls and the number of unacknowledged answers.
func (s *Server) Parked() (parked, unacknowledged int) { return len(s.byPoll), s.unacknowledged }

// Tick does what is due by time: it answers polls whose wait has expired, removes proxies that have left, and resumes
// proxies whose answers were delayed by the limit on unacknowledged answers.
func (s *Server) Tick(now float64) {
	s.wheel.Advance(now, func(client *clientState) { s.waitExpired(now, client) })
	if now-s.lastScan < expiryScanInterval {
		return
	}
	s.lastScan = now
	type dueClient struct {
		*clientState
		leaveReason string // empty: the proxy is to be resumed
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
