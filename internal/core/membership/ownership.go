package membership

import (
	"fmt"
	"maps"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	maxCachedOwners = 16384 // proxies; beyond this the cache is cleared
	maxClaims       = 4096  // proxies whose owner is not determined by hashing; further claims are ignored
)

// Ownership is the claim of a proxy by a peer, with the epoch in which it took effect.
type Ownership struct {
	Peer  Peer  `json:"peer"`
	Since Epoch `json:"since"`
}

// ownerCache caches the owners computed in one epoch. Owners change only with the epoch.
type ownerCache struct {
	epoch   Epoch
	weights map[Peer]float64 // weights of the peers that were alive in that epoch
	owners  map[string]Peer  // computed owners by proxy
}

// Owner returns the peer that owns a proxy: the one that has claimed it, or else the one with the highest score by weighted rendezvous
// hashing. The loss of a peer therefore moves only that peer's proxies and distributes them among the others by their weights. ok is
// false if no peer is alive.
func (s *State) Owner(uid string) (owner Peer, ok bool) {
	if s.owners.owners == nil || s.owners.epoch != s.Epoch || len(s.owners.owners) >= maxCachedOwners {
		s.owners = ownerCache{epoch: s.Epoch, weights: s.aliveWeights(), owners: map[string]Peer{}}
	}
	if owner, ok = s.owners.owners[uid]; ok {
		return owner, true
	}
	owner, ok = ownerIn(s.owners.weights, s.Claims, uid)
	if ok {
		s.owners.owners[uid] = owner
	}
	return owner, ok
}

// Contested reports whether a live peer other than owner may still regard itself as the owner of a proxy, because it may not have applied
// any epoch later than one in which it was the owner. This prevents two coordinators from owning one proxy while the former owner does not
// know of the change yet. The cost is that no coordinator manages such a proxy until its former owner has renewed its lease or the
// lease has expired.
func (s *State) Contested(uid string, owner Peer) bool {
	for _, view := range s.PastViews {
		former, ok := ownerIn(view.Weights, view.Claims, uid)
		if !ok || former == owner {
			continue
		}
		member := s.Members[former]
		if member.Alive && member.SeenEpoch <= view.Epoch {
			return true
		}
	}
	return false
}

func (s *State) aliveWeights() map[Peer]float64 {
	weights := make(map[Peer]float64, len(s.Members))
	for peer, member := range s.Members {
		if member.Alive {
			weights[peer] = member.Weight
		}
	}
	return weights
}

// ownerIn returns the owner of a proxy in one view: the peer that has claimed it if that peer is alive, or else the owner by hashing.
func ownerIn(weights map[Peer]float64, claims map[string]Ownership, uid string) (Peer, bool) {
	claim, ok := claims[uid]
	if ok {
		if _, alive := weights[claim.Peer]; alive {
			return claim.Peer, true
		}
	}
	return rendezvousOwner(weights, uid)
}

func rendezvousOwner(weights map[Peer]float64, uid string) (owner Peer, ok bool) {
	highest := math.Inf(-1)
	for peer, weight := range weights {
		score := rendezvousScore(peer, weight, uid)
		if score > highest || score == highest && peer < owner {
			owner = peer
			highest = score
			ok = true
		}
	}
	return owner, ok
}

func rendezvousScore(peer Peer, weight float64, uid string) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(peer)) // a Digest's writes never fail
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(uid)
	uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53) // in the open interval from 0 to 1
	return -weight / math.Log(uniform)
}

// applyClaim makes a live peer the owner of proxies that have contacted it. A claim is ignored for a proxy if its proposer did not know of
// a newer claim of the same proxy yet.
func (s *State) applyClaim(command Command) (ownersChanged bool, err error) {
	if !s.Members[command.Peer].Alive || command.SeenEpoch > s.Epoch {
		return false, fmt.Errorf("%w: %s claims proxies without a lease or with a future epoch", ErrInvalidCommand, command.Peer)
	}
	claims := maps.Clone(s.Claims)
	if claims == nil {
		claims = map[string]Ownership{}
	}
	for _, uid := range command.UIDs {
		current, claimed := claims[uid]
		if uid == "" || claimed && current.Since > command.SeenEpoch || !claimed && len(claims) >= maxClaims {
			continue
		}
		claims[uid] = Ownership{Peer: command.Peer, Since: s.Epoch + 1}
		ownersChanged = true
	}
	if ownersChanged {
		s.Claims = claims
	}
	return ownersChanged, nil
}

// releaseClaims deletes the claims of a peer whose lease has ended.
func (s *State) releaseClaims(peer Peer) {
	remaining := maps.Clone(s.Claims)
	maps.DeleteFunc(remaining, func(_ string, claim Ownership) bool { return claim.Peer == peer })
	if len(remaining) != len(s.Claims) {
		s.Claims = remaining
	}
}
