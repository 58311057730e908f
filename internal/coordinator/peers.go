package coordinator

import (
	"net/netip"

	"snowquay/internal/core/bytebudget"
	"snowquay/internal/core/membership"
	"snowquay/internal/env"
	"snowquay/internal/wire/peer"
)

const (
	peerRedialInterval      = 0.25    // seconds between dials of a member that can't be reached
	maxUndeliveredPeerBytes = 4 << 20 // bytes in flight to a member beyond which messages are dropped; consensus resends lost ones
)

// outgoingPeer is the connection that this member dials to another member to send messages to it.
type outgoingPeer struct {
	id         membership.MemberID
	conn       env.Conn // 0 if there is none
	connected  bool
	nextDialAt float64 // clock time in seconds
	sent       uint64  // bytes
	delivered  uint64  // bytes
	reader     peer.Reader
}

// peerTransport sends and receives the messages of a group. Each member dials all other members and sends only on the connections
// that it has dialled, so that a network fault on one side affects one direction only.
type peerTransport struct {
	member   *Member
	io       env.IO
	byID     map[membership.MemberID]*outgoingPeer
	byConn   map[env.Conn]*outgoingPeer
	incoming map[env.Conn]*incomingPeer
	buffered bytebudget.Budget // of the incomplete frames
	scratch  []byte            // buffer of the most recently encoded frame
}

func newPeerTransport(member *Member, io env.IO) *peerTransport {
	return &peerTransport{
		member:   member,
		io:       io,
		byID:     map[membership.MemberID]*outgoingPeer{},
		byConn:   map[env.Conn]*outgoingPeer{},
		incoming: map[env.Conn]*incomingPeer{},
		buffered: bytebudget.New(maxBufferedPeerBytes),
	}
}

// tick dials the members without a connection, and closes the connections to removed members and of peers that have not
// authenticated themselves in time.
func (t *peerTransport) tick(now float64) {
	t.closeUnauthenticated(now, authenticationTimeout, len(t.incoming))
	addresses := t.member.addresses()
	t.removeAbsent(addresses)
	for _, id := range sortedIDs(addresses) {
		link := t.byID[id]
		if link == nil {
			link = &outgoingPeer{id: id}
			t.byID[id] = link
		}
		if link.conn == 0 && now >= link.nextDialAt {
			link.nextDialAt = now + peerRedialInterval
			t.dial(link, addresses[id])
		}
	}
}

func (t *peerTransport) removeAbsent(addresses map[membership.MemberID]netip.AddrPort) {
	for id, link := range t.byID {
		_, present := addresses[id]
		if present {
			continue
		}
		delete(t.byID, id)
		if link.conn != 0 {
			delete(t.byConn, link.conn)
			t.io.Close(link.conn)
		}
	}
}

func (t *peerTransport) dial(link *outgoingPeer, address netip.AddrPort) {
	link.conn = t.io.Dial(address)
	link.sent = 0
	link.delivered = 0
	link.reader = peer.Reader{}
	t.byConn[link.conn] = link
}

// encode returns an encoded frame to a member, including the identifier of this member's data directory. The frame is valid until
// the next call of encode.
func (t *peerTransport) encode(to membership.MemberID, kind peer.Kind, message []byte) []byte {
	member := t.member
	frame := peer.Frame{
		From:      uint64(member.config.Self),
		To:        uint64(to),
		DataDirID: member.storage.DataDirID(),
		Commit:    member.commitIndex(),
		Kind:      kind,
		Message:   message,
	}
	t.scratch = peer.Append(t.scratch[:0], member.config.Key, frame)
	return t.scratch
}

// send sends a message to a member. It drops the message if the member is not connected or has too many undelivered bytes.
func (t *peerTransport) send(to membership.MemberID, kind peer.Kind, message []byte) {
	link := t.byID[to]
	if link == nil || !link.connected || link.sent-link.delivered > maxUndeliveredPeerBytes {
		return
	}
	frame := t.encode(to, kind, message)
	link.sent += uint64(len(frame))
	t.io.Send(link.conn, frame)
}

// broadcast sends a message to all connected members.
func (t *peerTransport) broadcast(kind peer.Kind, message []byte) {
	for _, id := range sortedIDs(t.byID) {
		t.send(id, kind, message)
	}
}

// connected handles the result of a dial and reports whether the connection is to a member.
func (t *peerTransport) connected(conn env.Conn, ok bool) bool {
	link := t.byConn[conn]
	if link == nil {
		return false
	}
	link.connected = ok
	if !ok {
		delete(t.byConn, conn)
		link.conn = 0
		return true
	}
	// Members learn each other's data directories from any frame, so send one even if consensus has nothing to send.
	t.send(link.id, peer.Hello, nil)
	return true
}

// closed handles the end of a connection and reports whether the connection belonged to the group.
func (t *peerTransport) closed(conn env.Conn) bool {
	_, incoming := t.incoming[conn]
	if incoming {
		delete(t.incoming, conn)
		return true
	}
	return t.connected(conn, false)
}

// delivered records how many bytes a member's host has received. It reports whether the connection belongs to the group.
func (t *peerTransport) delivered(conn env.Conn, total uint64) bool {
	link := t.byConn[conn]
	if link != nil {
		link.delivered = total
		return true
	}
	incoming := t.incoming[conn]
	if incoming == nil {
		return false
	}
	incoming.delivered = total
	return true
}

// receive decodes received data and handles the complete frames. It reports whether the connection belongs to the group.
func (t *peerTransport) receive(now float64, conn env.Conn, data []byte) bool {
	reader, dialled := t.readerOf(conn)
	if reader == nil {
		return false
	}
	reader.Feed(data)
	sender, err := t.receiveFrames(now, conn, dialled, reader)
	if err != nil {
		t.member.log("peer connection closed", "from", sender, "reason", err)
		t.abandon(conn)
		return true
	}
	if reader.Memory() > 0 && t.buffered.Add(len(data)) {
		t.closeLargest()
	}
	return true
}

// readerOf returns the reader of a connection of the group, and whether this member has dialled it; nil if there is none.
func (t *peerTransport) readerOf(conn env.Conn) (reader *peer.Reader, dialled bool) {
	if link := t.byConn[conn]; link != nil {
		return &link.reader, true
	}
	if incoming := t.incoming[conn]; incoming != nil {
		return &incoming.reader, false
	}
	return nil, false
}

// receiveFrames handles all complete frames that a reader has received. If there is an error, sender is the sender of the frame
// that caused it.
func (t *peerTransport) receiveFrames(now float64, conn env.Conn, dialled bool, reader *peer.Reader) (sender uint64, err error) {
	for {
		frame, ok, err := reader.Next(t.member.config.Key)
		if err != nil {
			return frame.From, err
		}
		if !ok {
			return 0, nil
		}
		err = t.receiveFrame(now, conn, dialled, frame)
		if err != nil {
			return frame.From, err
		}
		current, _ := t.readerOf(conn)
		if current != reader {
			return 0, nil // the connection was closed while the frame was handled
		}
	}
}

func (t *peerTransport) receiveFrame(now float64, conn env.Conn, dialled bool, frame peer.Frame) error {
	if frame.To != 0 && frame.To != uint64(t.member.config.Self) {
		return peer.ErrFrame
	}
	if dialled {
		t.member.receiveReply(frame)
		return nil
	}
	return t.member.receiveFrame(now, conn, frame)
}

// abandon closes a connection after an error on it.
func (t *peerTransport) abandon(conn env.Conn) {
	delete(t.incoming, conn)
	t.connected(conn, false)
	t.io.Close(conn)
}
