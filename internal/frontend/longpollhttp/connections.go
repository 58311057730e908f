package longpollhttp

import (
	"net/netip"

	"snowquay/internal/core/longpoll"
)

const expiryCheckInterval = 0.25 // seconds between two searches for connections that have to be closed

// Conn identifies a connection. The driver assigns the numbers and uses each of them once.
type Conn uint64

type connection struct {
	id             Conn
	from           netip.Addr
	uid            string // of its latest poll
	buffer         []byte // bytes that are not yet handled
	mediaType      string // of responses; empty if the client accepts none
	poll           longpoll.PollID
	idleSince      float64 // when the latest request began or the latest poll ended
	sentBytes      uint64
	deliveredBytes uint64
	undeliveredAt  float64 // since when sent bytes have been undelivered
	closing        bool    // it is closed once everything sent is received
}

// isExpired reports whether a connection without a poll is idle for too long, or its peer does not receive what is sent.
func (f *Frontend) isExpired(conn *connection) bool {
	idle := conn.poll == 0 && f.now-conn.idleSince > f.limits.IdleTimeout
	stalled := conn.sentBytes > conn.deliveredBytes && f.now-conn.undeliveredAt > f.limits.DeliveryTimeout
	return idle || stalled
}

func (f *Frontend) close(conn *connection, reason string) {
	f.Stats.Closed++
	f.handler.Log("connection closed", "reason", reason, "from", conn.from, "frontend", "longpoll")
	f.forget(conn)
	f.handler.ClosePoll(conn.id)
}

// forget drops a connection, and its parked poll.
func (f *Frontend) forget(conn *connection) {
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

// takePoll ends a parked poll and returns its connection, nil if it has none.
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
		f.close(conn, "its proxy left")
	}
}

// Log passes an event on to the Handler. It implements longpoll.Handler.
func (f *Frontend) Log(event string, pairs ...any) { f.handler.Log(event, pairs...) }
