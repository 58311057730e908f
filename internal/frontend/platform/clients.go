package platform

import (
	"snowquay/internal/core/bytebudget"
	"snowquay/internal/env"
	"snowquay/internal/wire/collector"
	"snowquay/internal/wire/resp"
)

const (
	identifyTimeout     = 0.9     // seconds for a client to name its zone; the platform allows closing it after 1
	reservedDescriptors = 96      // descriptors reserved for relay, discovery, health checks and the runtime
	minClients          = 32      // lower bound of maxClients, whatever the limit of descriptors is
	maxBufferedBytes    = 4 << 10 // maximum size of an incomplete message of an unidentified client
	maxReadinessChecks  = 64      // maximum number of readiness checks by an unidentified client
	defaultMaxBuffered  = 8 << 20 // maximum bytes of incomplete messages of all clients, unless the configuration has another one
)

// messageLimits bound a collector's message. The byte limit is the platform's; the element limit is well above the
// approximately 20 elements of a report.
var messageLimits = resp.Limits{Bytes: 1 << 20, Elements: 512}

// client is the peer of an accepted connection.
type client struct {
	conn            env.Conn
	acceptedAt      float64
	reader          resp.Reader
	identified      bool // the client has named a known zone, so it is a collector
	readinessChecks int
	replies         []byte // responses to the messages in the data that is being handled
}

// acceptClient accepts a connection. At the limit of clients, the oldest unidentified ones are rejected to make room.
func (p *Program) acceptClient(now float64, conn env.Conn) {
	for len(p.unidentified) > 0 && len(p.clients) >= p.maxClients {
		p.reject(p.unidentified[0])
		p.unidentified = p.unidentified[1:]
	}
	if len(p.clients) >= p.maxClients {
		p.counts.closed++
		p.io.Close(conn)
		return
	}
	accepted := &client{conn: conn, acceptedAt: now}
	p.clients[conn] = accepted
	p.unidentified = append(p.unidentified, accepted)
}

// reject sends a rejection to an unidentified client and closes its connection.
func (p *Program) reject(c *client) {
	if p.clients[c.conn] != c || c.identified {
		return
	}
	p.counts.rejected++
	p.io.Send(c.conn, collector.AppendRejection(c.replies))
	p.io.Close(c.conn)
	p.removeClient(c)
}

// rejectUnidentified rejects the clients that have not identified themselves within identifyTimeout.
func (p *Program) rejectUnidentified(now float64) {
	for len(p.unidentified) > 0 && now-p.unidentified[0].acceptedAt >= identifyTimeout {
		p.reject(p.unidentified[0])
		p.unidentified = p.unidentified[1:]
	}
	if len(p.unidentified) == 0 {
		p.unidentified = nil // releases the backing array
	}
}

func (p *Program) receiveClient(now float64, sender *client, b []byte) {
	p.handleMessages(now, sender, b)
	if p.clients[sender.conn] != sender {
		return
	}
	p.sendReplies(sender)
	if sender.reader.Buffered() > 0 && p.buffered.Add(len(b)) {
		p.closeLargestClients()
	}
}

// sendReplies sends the responses in one write, because clients may send many readiness checks at once.
func (p *Program) sendReplies(c *client) {
	if len(c.replies) > 0 {
		p.io.Send(c.conn, c.replies)
		c.replies = nil
	}
}

// closeLargestClients closes the clients with the most bytes of incomplete messages if all together have too many.
func (p *Program) closeLargestClients() {
	sizes := func(yield func(env.Conn, int) bool) {
		for conn, c := range p.clients {
			if !yield(conn, c.reader.Memory()) {
				return
			}
		}
	}
	closed := bytebudget.Excess(&p.buffered, sizes)
	for _, conn := range closed {
		p.counts.closed++
		p.io.Close(conn)
		p.removeClient(p.clients[conn])
	}
	if len(closed) > 0 {
		p.log.Warn("clients closed that sent too large a part of incomplete messages", "closed", len(closed), "clients", len(p.clients))
	}
}

// handleMessages handles the messages that are complete with the received data.
func (p *Program) handleMessages(now float64, sender *client, b []byte) {
	sender.reader.Feed(b)
	var elements [][]byte
	for {
		var ok bool
		var err error
		elements, ok, err = sender.reader.Next(elements[:0], messageLimits)
		if err != nil {
			p.closeOnFramingError(sender)
			return
		}
		if !ok {
			break
		}
		if !p.handleMessage(now, sender, collector.Parse(elements)) {
			p.reject(sender)
			return
		}
	}
	if !sender.identified && sender.reader.Buffered() > maxBufferedBytes {
		p.reject(sender)
	}
}

// closeOnFramingError closes a connection on which the start of the next message cannot be determined.
func (p *Program) closeOnFramingError(c *client) {
	if !c.identified {
		p.reject(c)
		return
	}
	p.counts.closed++
	p.sendReplies(c)
	p.io.Close(c.conn)
	p.removeClient(c)
}

// removeClient forgets a closed client and releases its memory, since it may stay in unidentified for a while.
func (p *Program) removeClient(c *client) {
	delete(p.clients, c.conn)
	*c = client{conn: c.conn, acceptedAt: c.acceptedAt}
}

// handleMessage handles one message and reports whether its sender may stay connected.
func (p *Program) handleMessage(now float64, sender *client, message collector.Message) bool {
	if message.Kind == collector.ReadinessCheckKind {
		return p.handleReadinessCheck(sender)
	}
	usable := false
	switch {
	case message.Kind == collector.HelloKind:
		hello, err := message.Hello()
		usable = err == nil && p.zone(hello.Zone) >= 0
		sender.identified = sender.identified || usable
	case !sender.identified:
		return false
	case message.Kind == collector.UpstreamReportKind:
		usable = p.handleUpstreamReport(now, message)
	case message.Kind == collector.DemandReportKind:
		usable = p.handleDemandReport(now, message)
	}
	if !usable {
		p.counts.malformed++
	}
	return sender.identified
}

func (p *Program) handleReadinessCheck(c *client) bool {
	c.readinessChecks++
	if !c.identified && c.readinessChecks > maxReadinessChecks {
		return false
	}
	c.replies = collector.AppendReady(c.replies)
	return true
}
