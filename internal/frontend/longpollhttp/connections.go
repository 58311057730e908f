package longpollhttp

import (
	"cmp"
	"net/netip"
	"slices"

	"snowquay/internal/core/longpoll"
)

// maxPipelinedUnread is the number of unread bytes of responses above which no further request of the connection is served.
const maxPipelinedUnread = 64 << 10

const expiryCheckInterval = 0.25 // seconds between two scans for connections that have to be closed

// Conn identifies a connection. The driver assigns the IDs and uses each of them once.
type Conn uint64

// connection is the state of an open connection.
type connection struct {
	id             Conn
	from           netip.Addr
	uid            string // UID that the latest poll names
	buffer         []byte // received bytes that are not yet handled
	mediaType      string // media type of tables in responses; empty if the client accepts none
	poll           longpoll.PollID
	idleSince      float64 // time at which the latest request was received or the latest poll ended
	sentBytes      uint64
	deliveredBytes uint64
	undeliveredAt  float64 // time since which there have been undelivered bytes
	closing        bool    // the connection is closed once the peer's host has received all that was sent
}

// backlogged reports whether the peer leaves so much unread that its next request has to wait.
func (c *connection) backlogged() bool { return c.sentBytes-c.deliveredBytes > maxPipelinedUnread }

// isExpired reports whether a connection without a parked poll has been idle for too long, or its peer has not received
// a response in time.
func (f *Frontend) isExpired(conn *connection) bool {
	idle := conn.poll == 0 && f.now-conn.idleSince > f.limits.IdleTimeout
	stalled := conn.sentBytes > conn.deliveredBytes && f.now-conn.undeliveredAt > f.limits.DeliveryTimeout
	return idle || stalled
}

// CloseIdle closes up to count connections without a parked poll, those first that have been idle for the longest time: new ones after
// newSeconds without a poll, others after polledSeconds. It returns their number.
func (f *Frontend) CloseIdle(now, newSeconds, polledSeconds float64, count int) int {
	f.now = now
	var idle []*connection
	for _, conn := range f.conns {
		seconds := polledSeconds
		if conn.uid == "" {
			seconds = newSeconds
		}
		if conn.poll == 0 && now-conn.idleSince > seconds {
			idle = append(idle, conn)
		}
	}
	slices.SortFunc(idle, func(a, b *connection) int {
		return cmp.Or(cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.id, b.id))
	})
	idle = idle[:min(len(idle), max(count, 0))]
	for _, conn := range idle {
		f.close(conn, "idle while others wait for a connection")
	}
	return len(idle)
}

func (f *Frontend) close(conn *connection, reason string) {
	f.Stats.Closed++
	f.handler.Log("connection closed", "reason", reason, "from", conn.from, "frontend", "longpoll")
	f.removeConnection(conn)
	f.handler.ClosePoll(conn.id)
}

// removeConnection removes a connection and its parked poll.
func (f *Frontend) removeConnection(conn *connection) {
	delete(f.conns, conn.id)
	if f.byUID[conn.uid] == conn {
		delete(f.byUID, conn.uid)
	}
	if conn.poll == 0 {
		return
	}
	id := conn.poll
	conn.poll = 0
	delete(f.byPoll, id)
	f.Polls.PollClosed(f.now, id)
}

// takePoll ends a parked poll and returns its connection; nil if the connection is closed.
func (f *Frontend) takePoll(id longpoll.PollID) *connection {
	conn := f.byPoll[id]
	if conn == nil {
		return nil
	}
	delete(f.byPoll, id)
	conn.poll = 0
	conn.idleSince = f.now
	return conn
}

// Dropped closes the idle connection of a proxy that is no longer joined. It implements longpoll.Handler.
func (f *Frontend) Dropped(uid string) {
	conn := f.byUID[uid]
	if conn != nil && conn.poll == 0 && !conn.closing {
		f.close(conn, "proxy left")
	}
}

// Log passes an event on to the Handler. It implements longpoll.Handler.
func (f *Frontend) Log(event string, pairs ...any) { f.handler.Log(event, pairs...) }
