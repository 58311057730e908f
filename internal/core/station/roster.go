package station

import (
	"cmp"
	"slices"

	"snowquay/choice"
)

// listFor is how long a new link may take to list who is joined, if no sign of life ends the list before, in seconds.
const listFor = 0.5

// Roster is who is joined, by the relay's news. A new link lists all who are; whoever is absent then has left while nobody told.
type Roster struct {
	joined  map[choice.Proxy]choice.Stream
	listed  map[choice.Proxy]bool // by the link whose list is not over
	listing bool
	since   float64
}

// NewRoster makes an empty one.
func NewRoster() *Roster {
	return &Roster{joined: map[choice.Proxy]choice.Stream{}}
}

// Joined is how many are.
func (r *Roster) Joined() int { return len(r.joined) }

// Has tells whether a proxy is joined.
func (r *Roster) Has(p choice.Proxy) bool { _, ok := r.joined[p]; return ok }

// Begin: the news comes from a new link from now on.
func (r *Roster) Begin(now float64) {
	r.listed, r.listing, r.since = map[choice.Proxy]bool{}, true, now
}

// Attach says that a proxy is joined. One that was joined joins anew: what it holds is not known.
func (r *Roster) Attach(s choice.Stream, news *choice.News) {
	if r.listing {
		r.listed[s.Proxy] = true
	}
	s.Joined = true
	r.joined[s.Proxy] = s
	news.Streams = append(news.Streams, s)
}

// Detach says that a proxy has left.
func (r *Roster) Detach(p choice.Proxy, news *choice.News) {
	delete(r.listed, p)
	if r.Has(p) {
		delete(r.joined, p)
		news.Streams = append(news.Streams, choice.Stream{Proxy: p})
	}
}

// Due ends the list of a new link when its time is over.
func (r *Roster) Due(now float64, news *choice.News) {
	if r.listing && now-r.since >= listFor {
		r.Ends(news)
	}
}

// Ends is the end of a new link's list: those who were not on it have left.
func (r *Roster) Ends(news *choice.News) {
	if !r.listing {
		return
	}
	var gone []choice.Proxy
	for p := range r.joined {
		if !r.listed[p] {
			gone = append(gone, p)
		}
	}
	slices.SortFunc(gone, cmp.Compare[choice.Proxy])
	r.listing, r.listed = false, nil
	for _, p := range gone {
		r.Detach(p, news)
	}
}
