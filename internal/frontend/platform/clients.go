package platform

import (
	"snowquay/internal/env"
	"snowquay/internal/wire/collector"
	"snowquay/internal/wire/resp"
)

const (
	identifyTimeout     = 0.9     // seconds for a client to name its zone: those that have not within 1 may be closed
	reservedDescriptors = 96      // not available to clients: relay, discovery, health checks and the runtime need them
	minClients          = 32      // connections of clients, whatever the limit of descriptors is
	maxBufferedBytes    = 4 << 10 // of an unfinished message of an unidentified client
	maxReadinessChecks  = 64      // of an unidentified client
)

// messageLimits bound a collector's message: its bytes by the platform, its elements well above the 20 or so of
// a report.
var messageLimits = resp.Limits{Bytes: 1 << 20, Elements: 512}

// client is the other end of an accepted connection.
type client struct {
	conn            env.Conn
	acceptedAt      float64
	reader          resp.Reader
	identified      bool // it is a collector: it has named a zone
	readinessChecks int
}

// acceptClient takes a connection. Where there are too many, the oldest unidentified clients make room.
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

// reject tells an unidentified client that it is not accepted, and closes its connection.
func (p *Program) reject(c *client) {
	if p.clients[c.conn] != c || c.identified {
		return
	}
	p.counts.rejected++
	delete(p.clients, c.conn)
	p.io.Send(c.conn, collector.AppendRejection(nil))
	p.io.Close(c.conn)
}

// rejectUnidentified rejects the clients that have not identified themselves in time.
func (p *Program) rejectUnidentified(now float64) {
	for len(p.unidentified) > 0 && now-p.unidentified[0].acceptedAt >= identifyTimeout {
		p.reject(p.unidentified[0])
		p.unidentified = p.unidentified[1:]
	}
	if len(p.unidentified) == 0 {
		p.unidentified = nil // release the array
	}
}

func (p *Program) receiveClient(now float64, sender *client, b []byte) {
	sender.reader.Feed(b)
	var elements [][]byte
	for {
		var ok bool
		var err error
		elements, ok, err = sender.reader.Next(elements[:0], messageLimits)
		if err != nil {
			p.closeUnreadable(sender)
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

// closeUnreadable closes a connection on which the next message cannot be found.
func (p *Program) closeUnreadable(c *client) {
	if !c.identified {
		p.reject(c)
		return
	}
	p.counts.closed++
	delete(p.clients, c.conn)
	p.io.Close(c.conn)
}

// handleMessage takes one message and reports whether its sender may stay.
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
	p.io.Send(c.conn, collector.AppendReady(nil))
	return true
}
