package membership

import (
	"fmt"
	"maps"
	"slices"
)

const (
	mostClaims  = 4096 // proxies that are led elsewhere than by hashing; more are refused, and stay where they are
	mostSeekers = 8192 // proxies that are remembered for having asked us; one more is forgotten at once
	seekFor     = 6.0  // seconds of asking after which a proxy is claimed: longer than the takeover from one that died
	seekGap     = 3.0  // seconds without asking, after which it has found its coordinator
	seekTimes   = 3    // asks at least
)

type seeker struct {
	first, last float64
	times       int
}

// MisroutedProxies are proxies that ask us although another one leads them. One that goes on asking does not reach its own
// coordinator, which reaches the group and so goes on holding it: then we claim it. Guards against a coordinator that is
// cut off from proxies but not from the others; it does harm where a proxy dials us for fun, which then moves to us.
type MisroutedProxies struct{ by map[string]*seeker }

// NewMisroutedProxies makes an empty list.
func NewMisroutedProxies() *MisroutedProxies { return &MisroutedProxies{by: map[string]*seeker{}} }

// Observe notes that a proxy asked us and was sent away.
func (k *MisroutedProxies) Observe(now float64, uid string) {
	x := k.by[uid]
	switch {
	case x == nil && len(k.by) >= mostSeekers:
		return
	case x == nil || now-x.last > seekGap:
		x = &seeker{first: now}
		k.by[uid] = x
	}
	x.last = now
	x.times++
}

// DueClaims are the commands that claim those who have asked for long enough; s is what is agreed on, self who we are.
func (k *MisroutedProxies) DueClaims(now float64, self Peer, s *State) []Command {
	var uids []string
	for uid, x := range k.by {
		if now-x.last > seekGap {
			delete(k.by, uid)
			continue
		}
		if holder, ok := s.Owner(uid); x.times >= seekTimes && x.last-x.first >= seekFor && ok && holder != self {
			uids = append(uids, uid)
			delete(k.by, uid) // it has to ask for as long again if the claim comes to nothing
		}
	}
	if len(uids) == 0 {
		return nil
	}
	slices.Sort(uids)
	return []Command{{Kind: ClaimProxies, Peer: self, SeenEpoch: s.Epoch, UIDs: uids}}
}

// claim moves proxies to a living peer that they have asked. One that was decided before somebody else's claim was known
// is ignored.
func (s *State) claim(c Command) (moved bool, err error) {
	if !s.Members[c.Peer].Alive || c.SeenEpoch > s.Epoch {
		return false, fmt.Errorf("%w: %s claims, and holds no part", ErrInvalidCommand, c.Peer)
	}
	claims := maps.Clone(s.Claims)
	if claims == nil {
		claims = map[string]Ownership{}
	}
	for _, uid := range c.UIDs {
		old, ok := claims[uid]
		if ok && old.Since > c.SeenEpoch || uid == "" || !ok && len(claims) >= mostClaims {
			continue
		}
		claims[uid] = Ownership{Peer: c.Peer, Since: s.Epoch + 1}
		moved = true
	}
	if moved {
		s.Claims = claims // former views go on with theirs
	}
	return moved, nil
}

// Ownership says who has claimed a proxy, in which epoch.
type Ownership struct {
	Peer  Peer  `json:"peer"`
	Since Epoch `json:"since"`
}

// release lets go of what a peer had claimed: it is not there any more.
func (s *State) release(p Peer) {
	left := maps.Clone(s.Claims)
	maps.DeleteFunc(left, func(_ string, h Ownership) bool { return h.Peer == p })
	if len(left) != len(s.Claims) {
		s.Claims = left
	}
}

// holder of a proxy by a view: who has claimed it, or else by hashing.
func holder(weights map[Peer]float64, claims map[string]Ownership, uid string) (Peer, bool) {
	if h, ok := claims[uid]; ok {
		if _, lives := weights[h.Peer]; lives {
			return h.Peer, true
		}
	}
	return rendezvous(weights, uid)
}
