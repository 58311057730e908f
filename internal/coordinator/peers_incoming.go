package coordinator

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"snowquay/internal/core/bytebudget"
	"snowquay/internal/core/membership"
	"snowquay/internal/env"
	"snowquay/internal/wire/peer"
)

const (
	maxIncomingPeers      = 128       // connections; a group has few members, and tools connect one at a time
	maxBufferedPeerBytes  = 24 << 20  // bytes of incomplete frames of all connections together
	authenticationTimeout = 5.0       // seconds within which a peer has to send its first valid frame
	maxUnreadReplyBytes   = 256 << 10 // bytes of replies on one connection that its peer has not received
)

// incomingPeer is a connection that a peer has dialled.
type incomingPeer struct {
	openedAt  float64 // clock time in seconds
	reader    peer.Reader
	sent      uint64 // bytes
	delivered uint64 // bytes
}

// errUnread is the reason for which the connection of a peer is closed that leaves too many replies unread.
var errUnread = errors.New("too many unread replies")

// reply sends a frame on a connection that a peer has dialled. It returns errUnread if the peer leaves too many replies unread.
func (t *peerTransport) reply(conn env.Conn, to membership.MemberID, kind peer.Kind, message []byte) error {
	incoming := t.incoming[conn]
	if incoming == nil {
		return nil // the connection has been closed
	}
	if incoming.sent-incoming.delivered > maxUnreadReplyBytes {
		return errUnread
	}
	frame := t.encode(to, kind, message)
	incoming.sent += uint64(len(frame))
	t.io.Send(conn, frame)
	return nil
}

// opened accepts a connection. At the limit, the oldest connection that is not authenticated makes room.
func (t *peerTransport) opened(now float64, conn env.Conn) {
	if len(t.incoming) >= maxIncomingPeers {
		closed := cmp.Or(t.oldestUnauthenticated(), conn)
		t.member.log("peer connection closed", "reason", "too many connections")
		t.io.Close(closed)
		delete(t.incoming, closed)
		if closed == conn {
			return
		}
	}
	t.incoming[conn] = &incomingPeer{openedAt: now}
}

// oldestUnauthenticated returns the oldest incoming connection that is not authenticated, or 0.
func (t *peerTransport) oldestUnauthenticated() env.Conn {
	var oldest env.Conn
	for conn, incoming := range t.incoming {
		if !incoming.reader.Authenticated() && (oldest == 0 || conn < oldest) {
			oldest = conn
		}
	}
	return oldest
}

// closeUnauthenticated closes up to count connections of peers that have not authenticated themselves within some seconds, the oldest
// first.
func (t *peerTransport) closeUnauthenticated(now, seconds float64, count int) {
	for _, conn := range slices.Sorted(maps.Keys(t.incoming)) {
		incoming := t.incoming[conn]
		if count > 0 && !incoming.reader.Authenticated() && now-incoming.openedAt > seconds {
			count--
			t.member.log("peer connection closed", "reason", "not authenticated in time")
			t.abandon(conn)
		}
	}
}

// closeLargest closes the incoming connections with the longest incomplete frames if all together are too long.
func (t *peerTransport) closeLargest() {
	sizes := func(yield func(env.Conn, int) bool) {
		for conn, incoming := range t.incoming {
			if !yield(conn, incoming.reader.Memory()) {
				return
			}
		}
	}
	for _, conn := range bytebudget.Excess(&t.buffered, sizes) {
		t.member.log("peer connection closed", "reason", "too many bytes of incomplete frames")
		t.abandon(conn)
	}
}
