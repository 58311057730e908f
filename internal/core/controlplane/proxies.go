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
	// ErrUnlistedProxy says that the settings do not list a proxy and admit listed ones only.
	ErrUnlistedProxy = errors.New("proxy is not listed in the settings")
	// ErrTooManyProxies says that as many proxies are known as the limits allow.
	ErrTooManyProxies = errors.New("too many proxies")
	// ErrJoinRateExceeded says that a proxy joins more often than one that only reconnects after failures.
	ErrJoinRateExceeded = errors.New("proxy joins too often")
)

const (
	joinBurst      = 5.0 // joins of one proxy at once
	joinsPerSecond = 1.0 // of one proxy, which dials at most once a second
)

// TableState is what is known of a proxy's copy of the table of one request class. The wanted version is that of the
// table itself, see Fleet.wantedVersion.
type TableState struct {
	Table        balancer.Table // the table that the class is assigned
	Assigned     bool           // the decision module has assigned a table
	NeedsFull    bool           // the proxy needs the whole table: no version that it holds is known
	Stale        bool           // the proxy may still hold entries of another table
	SentVersion  tables.Version // newest version sent
	AckedVersion tables.Version // newest version that the proxy is known to hold
}

// Proxy is a proxy that is joined, or has left so recently that its ID is still reserved.
type Proxy struct {
	ID                balancer.Proxy
	UID               string
	Zone              balancer.Zone
	ExpectedRate      float64 // requests per second
	Joined            bool
	Polls             bool         // it fetches its tables by long polls; nothing is pushed to it
	SupportsAdmission bool         // its frontend can send admission rates and retry policies
	Tables            []TableState // by class

	frontend   Frontend
	leftAt     float64
	joinTokens tokenBucket

	// The message in flight. An update is built from the wanted state when it is sent, so none is queued here.
	inFlight      bool
	inFlightSince float64
	inFlightAcks  []ackRequest // answered when the message is acknowledged
	queuedAcks    []ackRequest // to go with the next message
	urgentOnly    bool         // the next message brings it to the last urgent changes only
	urgent        bool         // an urgent change is in flight or waits
	urgentSince   float64
	trace         MessageTrace
	followUpTrace MessageTrace // of the message that follows one with urgent changes only

	// Whether the proxy applies what it acknowledges.
	clockOffset      float64 // least difference seen between our clock and the time of a report
	deliveries       deliveryLog
	noncompliantWith balancer.Server // its reports show attempts there after it was told of the removal
}

// tokenBucket limits how often something happens.
type tokenBucket struct {
	tokens float64
	at     float64 // of the last refill; 0: never
}

// take takes a token if there is one. The bucket starts full.
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

// InFlight tells whether a message to the proxy is not yet acknowledged.
func (p *Proxy) InFlight() bool { return p.inFlight }

// FindProxy finds a proxy that is joined or still known by its UID; nil if there is none.
func (f *Fleet) FindProxy(uid string) *Proxy { return f.proxiesByUID[uid] }

// Listed tells whether the settings allow a proxy to join.
func (f *Fleet) Listed(uid string) bool {
	_, ok := f.listedProxies[uid]
	return ok || f.site.AllowUnlisted && strings.HasPrefix(uid, f.site.UIDPrefix)
}

// Join adds a proxy that has connected through a frontend, which delivers its tables from now on. The flag fresh says
// that the proxy holds its default table only. A proxy that is joined already moves to the new frontend, and the old
// one is told so by Displaced. The errors are ErrWrongCoordinator, ErrUnlistedProxy, ErrTooManyProxies and
// ErrJoinRateExceeded.
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

// addProxy makes the entry of a proxy that is not known yet.
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

// allocateProxyID reuses IDs, since the decision module wants them dense.
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

// allowJoin limits how often one proxy joins. Otherwise a proxy whose connection breaks all the time, or two with one
// UID, would be sent whole tables each time and leave the channel no capacity for the drains of others. A proxy that is
// refused keeps its tables and dials again.
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

// Disconnect says that a proxy's connection ended. The message in flight is taken as lost, and what the proxy holds as
// unknown, since it may come back after a restart. The cost is a full table for each reconnection.
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

// unassign removes one class of a proxy from the users of its table.
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

// forgetExpired forgets proxies that left long ago and frees their IDs. It waits while the decision module has not yet
// been told who left.
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

// assignment is a joined proxy's class with the table that it is assigned.
type assignment struct {
	proxy *Proxy
	class balancer.Class
	table *desiredTable
}

// assignments yields the assigned classes of all joined proxies, in the order of IDs and classes.
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

// wantedVersion is the version of the assigned table that the decision module wants a proxy to hold.
func (f *Fleet) wantedVersion(state *TableState) tables.Version {
	return f.tables[state.Table].Version()
}

// sortedProxies are all known proxies by ID.
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
