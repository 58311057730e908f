package platformstate

import (
	"cmp"
	"maps"
	"slices"

	"snowquay/balancer"
)

const (
	listFor  = 0.5  // seconds that a link may take to list who is joined, if no sign of life ends the list before
	gapMost  = 0.25 // seconds without news in which nobody can have left and joined again: a proxy has to notice and to dial
	lifeFor  = 1.25 // seconds from one sign of life to the next at most: they come each second
	apartBy  = 0.5  // seconds between two links' word of the same joining, at most
	staleFor = 1.5  // seconds without a word after which a link is not relied on: signs of life come each second
)

// joining is a proxy that is joined, as a link told it.
type joining struct {
	stream balancer.ProxyEvent
	at     float64
	listed bool // it was joined before the link was made
}

// Source is what one link to the relay says of who is joined.
type Source struct {
	joined  map[balancer.Proxy]joining
	listing bool
	since   float64
	heard   float64
}

// NewSource is a link that has just been told to give its news.
func NewSource(now float64) *Source {
	return &Source{joined: map[balancer.Proxy]joining{}, listing: true, since: now, heard: now}
}

// Complete tells whether the list of those who were joined is over, and the link is heard of.
func (x *Source) Complete(now float64) bool { return !x.listing && now-x.heard <= staleFor }

// ProxyRegistry is who is joined, by the news of one link at a time. Another link that has listened all along can take its place at any
// time, and nobody has to be told anything again; if there was none, whoever is joined may have left and come back meanwhile, and
// joins anew.
type ProxyRegistry struct {
	joined map[balancer.Proxy]joining
	from   *Source
	until  float64 // up to when news were heard
}

// NewProxyRegistry makes an empty one.
func NewProxyRegistry() *ProxyRegistry {
	return &ProxyRegistry{joined: map[balancer.Proxy]joining{}}
}

// Len is how many are.
func (r *ProxyRegistry) Len() int { return len(r.joined) }

// JoinEvents are all that are.
func (r *ProxyRegistry) JoinEvents() (list []balancer.ProxyEvent) {
	for _, p := range slices.SortedFunc(maps.Keys(r.joined), cmp.Compare[balancer.Proxy]) {
		list = append(list, r.joined[p].stream)
	}
	return list
}

// Contains tells whether a proxy is joined.
func (r *ProxyRegistry) Contains(p balancer.Proxy) bool { _, ok := r.joined[p]; return ok }

// Touch says that a link has said something.
func (r *ProxyRegistry) Touch(now float64, x *Source) {
	if x.heard = now; r.from == x && !x.listing {
		r.until = now
	}
}

// MarkReplaced says that a link is replaced while it still stands. If its last sign of life is not overdue it would have told of whoever
// left or joined: there was no gap. Guards against binding everybody anew with each new link, which fills the channel.
func (r *ProxyRegistry) MarkReplaced(now float64, x *Source) {
	if x != nil && r.from == x && !x.listing && now-x.heard <= lifeFor {
		r.until = now
	}
}

// SwitchSource goes by another link from now on.
func (r *ProxyRegistry) SwitchSource(now float64, x *Source, news *balancer.Events) {
	if r.from = x; !x.listing {
		r.settle(now, news)
	}
}

// ProxyJoined says that by a link a proxy is joined. One that was joined joins anew: what it holds is not known.
func (r *ProxyRegistry) ProxyJoined(now float64, x *Source, s balancer.ProxyEvent, news *balancer.Events) {
	s.Joined = true
	j := joining{s, now, x.listing}
	x.joined[s.Proxy] = j
	if r.from == x && (!x.listing || !r.Contains(s.Proxy)) {
		r.join(j, news)
	}
}

// ProxyLeft says that by a link a proxy has left.
func (r *ProxyRegistry) ProxyLeft(x *Source, p balancer.Proxy, news *balancer.Events) {
	delete(x.joined, p)
	if r.from == x {
		r.leave(p, news)
	}
}

func (r *ProxyRegistry) join(j joining, news *balancer.Events) {
	r.joined[j.stream.Proxy] = j
	news.ProxyEvents = append(news.ProxyEvents, j.stream)
}

func (r *ProxyRegistry) leave(p balancer.Proxy, news *balancer.Events) {
	if r.Contains(p) {
		delete(r.joined, p)
		news.ProxyEvents = append(news.ProxyEvents, balancer.ProxyEvent{Proxy: p})
	}
}

// ExpireList ends a link's list when its time is over.
func (r *ProxyRegistry) ExpireList(now float64, x *Source, news *balancer.Events) {
	if x.listing && now-x.since >= listFor {
		r.EndList(now, x, news)
	}
}

// EndList is the end of a link's list.
func (r *ProxyRegistry) EndList(now float64, x *Source, news *balancer.Events) {
	if x.listing {
		if x.listing = false; r.from == x {
			r.settle(now, news)
		}
	}
}

// settle makes the roster what its link says. Those who are absent have left while nobody told.
func (r *ProxyRegistry) settle(now float64, news *balancer.Events) {
	x := r.from
	gap := x.since-r.until > gapMost
	r.until = now
	for _, p := range slices.SortedFunc(maps.Keys(r.joined), cmp.Compare[balancer.Proxy]) {
		if _, ok := x.joined[p]; !ok {
			r.leave(p, news)
		}
	}
	for _, p := range slices.SortedFunc(maps.Keys(x.joined), cmp.Compare[balancer.Proxy]) {
		j, known := x.joined[p], r.joined[p]
		again := gap && known.at < x.since || !j.listed && j.at > known.at+apartBy || j.listed && j.stream.DefaultTable && !known.stream.DefaultTable
		if !r.Contains(p) || again {
			r.join(j, news)
		}
	}
}
