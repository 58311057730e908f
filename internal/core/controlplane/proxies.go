package controlplane

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/tables"
)

var (
	// ErrUnlistedProxy reports that the settings neither list a proxy nor admit it unlisted.
	ErrUnlistedProxy = errors.New("proxy is not listed in the settings")
	// ErrTooManyProxies reports that the limit of known proxies is reached.
	ErrTooManyProxies = errors.New("too many proxies")
	// ErrJoinRateExceeded reports that a proxy joins more often than reconnections after failures explain.
	ErrJoinRateExceeded = errors.New("proxy joins too often")
)

const (
	joinBurst      = 5.0 // joins that one proxy may make in a burst
	joinsPerSecond = 1.0 // sustained join rate of one proxy, which dials at most once per second
)

// TableState is the known state of a proxy's copy of the table of one request class. The wanted version is the version
// of the table itself, see Fleet.wantedVersion.
type TableState struct {
	Table        balancer.Table // the table that the class is assigned
	Assigned     bool           // whether the decision module has assigned a table
	NeedsFull    bool           // the proxy needs the whole table, since it holds no known version
	Stale        bool           // the proxy may still hold entries of a previously assigned table
	SentVersion  tables.Version // newest version sent
	AckedVersion tables.Version // newest version that the proxy is known to hold
}

// Proxy is the state of a proxy that is joined, or that left so recently that its ID is still reserved.
type Proxy struct {
	ID                balancer.Proxy
	UID               string
	Zone              balancer.Zone
	ExpectedRate      float64 // requests per second
	Joined            bool
	Polls             bool         // the proxy fetches its tables by long polls; nothing is pushed to it
	SupportsAdmission bool         // the frontend can send admission rates and retry policies
	Tables            []TableState // by class

	frontend   Frontend
	leftAt     float64
	joinTokens tokenBucket

	// The message in flight. A message is built from the wanted state when it is sent, so no messages are queued here.
	inFlight      bool
	inFlightSince float64
	inFlightAcks  []ackRequest // answered once the message is acknowledged
	queuedAcks    []ackRequest // sent with the next message
	urgentOnly    bool         // the next message contains changes up to the last urgent one only
	urgent        bool         // an urgent change is pending or in flight
	urgentSince   float64
	trace         MessageTrace
	followUpTrace MessageTrace // trace of the message that follows an urgent-only one

	// State for checking whether the proxy applies what it acknowledges.
	clockOffset      float64 // smallest difference seen between our clock and the timestamp of a report
	deliveries       deliveryLog
	noncompliantWith balancer.Server // server with reported attempts after its acknowledged removal; empty if none
}

// tokenBucket is a token bucket rate limiter.
type tokenBucket struct {
	tokens float64
	at     float64 // time of the last refill; 0 if never refilled
}

// take removes a token and reports whether one was available. The bucket starts full.
func (b *tokenBucket) take(now, rate, burst float64) bool {
	if b.at == 0 {
		b.tokens = burst
	}
	b.tokens = min(burst, b.tokens+max(0, now-b.at)*rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// InFlight reports whether a message to the proxy is awaiting acknowledgement.
func (p *Proxy) InFlight() bool { return p.inFlight }

// FindProxy looks up a known proxy by its UID, whether joined or not. It returns nil if there is none.
func (f *Fleet) FindProxy(uid string) *Proxy { return f.proxiesByUID[uid] }

// Listed reports whether the settings allow a proxy to join.
func (f *Fleet) Listed(uid string) bool {
	_, ok := f.listedProxies[uid]
	return ok || f.site.AllowUnlisted && strings.HasPrefix(uid, f.site.UIDPrefix)
}

// Join adds a proxy that has connected through a frontend, which delivers its tables from now on. The flag fresh
// indicates that the proxy holds only its default table. If the proxy is already joined, it moves to the new frontend,
// and Displaced is called on the previous one. The error wraps ErrWrongCoordinator, ErrUnlistedProxy, ErrTooManyProxies
// or ErrJoinRateExceeded.
func (f *Fleet) Join(now float64, uid string, frontend Frontend, fresh bool) (*Proxy, error) {
	if !f.owns(now, uid) {
		if f.owner.onRedirect != nil && f.Listed(uid) {
			f.owner.onRedirect(now, uid)
		}
		return nil, fmt.Errorf("%w: %q", ErrWrongCoordinator, uid)
	}
	proxy := f.proxiesByUID[uid]
	if proxy == nil {
		var err error
		proxy, err = f.addProxy(now, uid)
		if err != nil {
			return nil, err
		}
	}
	if !f.allowJoin(now, proxy) {
		return nil, fmt.Errorf("%w: %q", ErrJoinRateExceeded, uid)
	}
	if proxy.Joined {
		previous := proxy.frontend
		f.Disconnect(now, proxy)
		previous.Displaced(now, proxy)
	}
	proxy.frontend = frontend
	proxy.Polls = false
	proxy.SupportsAdmission = false
	proxy.Joined = true
	proxy.clockOffset = math.Inf(1)
	proxy.noncompliantWith = ""
	proxy.deliveries.clear()
	f.joinedCount++
	f.pendingEvents.ProxyEvents = append(f.pendingEvents.ProxyEvents, balancer.ProxyEvent{
		Proxy:        proxy.ID,
		Joined:       true,
		Zone:         proxy.Zone,
		ExpectedRate: proxy.ExpectedRate,
		DefaultTable: fresh,
	})
	return proxy, nil
}

// addProxy adds a proxy that is not known yet.
func (f *Fleet) addProxy(now float64, uid string) (*Proxy, error) {
	if !f.Listed(uid) {
		return nil, fmt.Errorf("%w: %q", ErrUnlistedProxy, uid)
	}
	config, ok := f.listedProxies[uid]
	if !ok {
		config = ProxyConfig{UID: uid, Zone: f.site.UnlistedZone}
	}
	if len(f.proxies) >= f.site.Limits.MaxProxies {
		f.forgetExpired(now)
	}
	if len(f.proxies) >= f.site.Limits.MaxProxies {
		return nil, fmt.Errorf("%w: %d are known", ErrTooManyProxies, len(f.proxies))
	}
	proxy := &Proxy{
		ID:           f.allocateProxyID(),
		UID:          uid,
		Zone:         config.Zone,
		ExpectedRate: config.ExpectedRate,
		Tables:       make([]TableState, len(f.site.Classes)),
	}
	f.proxies[proxy.ID] = proxy
	f.proxiesByUID[uid] = proxy
	return proxy, nil
}

// allocateProxyID returns a free ID. It reuses IDs, since the decision module requires them to be dense.
func (f *Fleet) allocateProxyID() balancer.Proxy {
	if n := len(f.freeProxyIDs); n > 0 {
		id := f.freeProxyIDs[n-1]
		f.freeProxyIDs = f.freeProxyIDs[:n-1]
		return id
	}
	id := f.nextProxyID
	f.nextProxyID++
	return id
}

// allowJoin limits how often one proxy joins. Otherwise a proxy whose connection breaks repeatedly, or two proxies with
// the same UID, would be sent whole tables at every join and leave no channel capacity for drains to other proxies. A
// proxy that is refused keeps its tables and dials again.
func (f *Fleet) allowJoin(now float64, proxy *Proxy) bool {
	if f.site.DisabledGuards[GuardJoinRate] {
		return true
	}
	if !proxy.joinTokens.take(now, joinsPerSecond, joinBurst) {
		f.Stats.JoinsThrottled++
		return false
	}
	return true
}

// Disconnect records that a proxy's connection ended. The message in flight is considered lost, and the tables that the
// proxy holds are considered unknown, since it may have restarted when it returns. The cost is a full table for each
// reconnection.
func (f *Fleet) Disconnect(now float64, proxy *Proxy) {
	if !proxy.Joined {
		return
	}
	f.finishTrace(proxy, 0)
	f.joinedCount--
	proxy.Joined = false
	proxy.leftAt = now
	proxy.inFlight = false
	proxy.urgent = false
	proxy.queuedAcks = proxy.queuedAcks[:0]
	proxy.inFlightAcks = proxy.inFlightAcks[:0]
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		f.unassign(proxy, state)
		if f.site.DisabledGuards[GuardRejoin] {
			state.Assigned = false
			continue
		}
		*state = TableState{}
	}
	f.sendQueue.Forget(proxy.ID)
	f.pendingEvents.ProxyEvents = append(f.pendingEvents.ProxyEvents, balancer.ProxyEvent{Proxy: proxy.ID})
}

// unassign removes a class of a proxy from the users of its assigned table.
func (f *Fleet) unassign(proxy *Proxy, state *TableState) {
	if !state.Assigned {
		return
	}
	table := f.tables[state.Table]
	if table == nil {
		return
	}
	table.classesByProxy[proxy.ID]--
	if table.classesByProxy[proxy.ID] <= 0 {
		delete(table.classesByProxy, proxy.ID)
	}
}

// forgetExpired forgets proxies that left longer ago than the retention time, and frees their IDs. It does nothing while
// proxy events wait for the next round: the decision module may not know yet which proxies have left.
func (f *Fleet) forgetExpired(now float64) {
	for id, proxy := range f.proxies {
		if !proxy.Joined && now-proxy.leftAt > f.site.Limits.ProxyRetention && len(f.pendingEvents.ProxyEvents) == 0 {
			delete(f.proxies, id)
			delete(f.proxiesByUID, proxy.UID)
			f.LoadReports.RemoveProxy(id)
			f.freeProxyIDs = append(f.freeProxyIDs, id)
		}
	}
	slices.Sort(f.freeProxyIDs)
}

// assignment is a class of a joined proxy with its assigned table.
type assignment struct {
	proxy *Proxy
	class balancer.Class
	table *desiredTable
}

// assignments yields the assigned classes of all joined proxies, ordered by proxy ID and class.
func (f *Fleet) assignments() iter.Seq[assignment] {
	return func(yield func(assignment) bool) {
		for _, proxy := range f.sortedProxies() {
			if !proxy.Joined {
				continue
			}
			for class := range proxy.Tables {
				state := &proxy.Tables[class]
				if !state.Assigned {
					continue
				}
				if !yield(assignment{proxy: proxy, class: balancer.Class(class), table: f.tables[state.Table]}) {
					return
				}
			}
		}
	}
}

// wantedVersion returns the version of the assigned table that the decision module wants a proxy to hold.
func (f *Fleet) wantedVersion(state *TableState) tables.Version {
	return f.tables[state.Table].Version()
}

// sortedProxies returns all known proxies, ordered by ID.
func (f *Fleet) sortedProxies() []*Proxy {
	all := make([]*Proxy, 0, len(f.proxies))
	for _, proxy := range f.proxies {
		all = append(all, proxy)
	}
	sortByID(all)
	return all
}

func sortByID(proxies []*Proxy) {
	slices.SortFunc(proxies, func(a, b *Proxy) int { return cmp.Compare(a.ID, b.ID) })
}
