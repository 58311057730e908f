package platform

import (
	"bytes"
	"net/http"

	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/http1"
)

// Times in seconds.
const (
	discoverySilenceTimeout = 4.6 // time without a line after which a connection is considered silent; heartbeats arrive every 2 s
	minRefetchBackoff       = 0.1 // minimum time before an unreadable list is requested again
	maxRefetchBackoff       = 8.0 // maximum of that time; discovery may deliver the same unreadable list again
)

// maxRefetchDoublings bounds the exponent of the backoff. The backoff reaches its maximum with fewer doublings.
const maxRefetchDoublings = 10

// discoveryWatch is the peer whose connection delivers changes of the list of servers.
type discoveryWatch struct {
	peer
	fullListFirst   bool // the next connection requests the full list before the changes
	incompleteLists int  // number of consecutive refetches scheduled for an incomplete list
}

// discoveryStream is the state of reading discovery's responses on one connection.
type discoveryStream struct {
	fullList  bool              // the current response is the full list, not the stream of changes
	delivered bool              // a list has been received
	buffer    []byte            // incomplete response with the full list, or incomplete head of the stream
	body      *http1.BodyReader // body of the stream; nil until its head is complete
}

// requestLists requests the full list if needed, otherwise the changes since the last complete version.
func (p *Program) requestLists(_ float64, c *connection) {
	path := discovery.WatchPath(p.endpoints.CompleteVersion())
	c.lists.fullList = p.discovery.fullListFirst
	if c.lists.fullList {
		path = discovery.ListPath
	}
	p.io.Send(c.conn, []byte("GET "+path+" HTTP/1.1\r\nHost: "+c.address.String()+"\r\n\r\n"))
}

func (p *Program) receiveDiscovery(now float64, c *connection, b []byte) {
	if c.lists.fullList {
		p.receiveFullList(now, c, b)
		return
	}
	if c.lists.body == nil {
		var ok bool
		b, ok = p.receiveStreamHead(now, c, b)
		if !ok {
			return
		}
	}
	p.receiveStream(now, c, b)
}

// receiveStreamHead reads the response head of the stream of changes and returns the bytes after it. ok is false while
// the head is incomplete and if it is unusable.
func (p *Program) receiveStreamHead(now float64, c *connection, b []byte) (rest []byte, ok bool) {
	c.lists.buffer = append(c.lists.buffer, b...)
	var head http1.Message
	length, body, err := http1.ParseResponseHead(c.lists.buffer, httpLimits, &head)
	if err != nil || length > 0 && head.Status != http.StatusOK {
		p.rejectDiscoveryResponse(now, c, head.Status, err)
		return nil, false
	}
	if length == 0 {
		return nil, false
	}
	rest = c.lists.buffer[length:]
	c.lists.body = &body
	c.lists.buffer = nil
	return rest, true
}

// receiveStream reads lines of the stream of changes, and disconnects if the stream ends or is invalid.
func (p *Program) receiveStream(now float64, c *connection, b []byte) {
	lineTooLong := false
	ended, err := c.lists.body.Read(b, func(part []byte) {
		err := c.lines.Read(part, maxLineBytes, func(line []byte) {
			if p.isOpen(c) {
				p.handleList(now, c, line)
			}
		})
		lineTooLong = lineTooLong || err != nil
	})
	if (ended || err != nil || lineTooLong) && p.isOpen(c) {
		p.disconnect(now, c)
	}
}

// receiveFullList reads the response with the full list, then requests the changes on the same connection.
func (p *Program) receiveFullList(now float64, c *connection, b []byte) {
	c.lists.buffer = append(c.lists.buffer, b...)
	var response http1.Message
	length, err := http1.ParseResponse(c.lists.buffer, http.MethodGet, httpLimits, &response)
	if err == nil && length == 0 {
		return
	}
	if err == nil {
		_, err = discovery.Parse(response.Body)
	}
	if err != nil || response.Status != http.StatusOK { // changes are meaningless without the full list, so it is requested again
		p.rejectDiscoveryResponse(now, c, response.Status, err)
		return
	}
	rest := bytes.Clone(c.lists.buffer[length:])
	p.handleList(now, c, bytes.TrimSpace(response.Body))
	p.discovery.fullListFirst = false
	c.lists.delivered = true
	c.lists.buffer = nil
	if response.Close {
		p.disconnect(now, c)
		return
	}
	p.requestLists(now, c)
	if len(rest) > 0 {
		p.receiveDiscovery(now, c, rest)
	}
}

func (p *Program) rejectDiscoveryResponse(now float64, c *connection, status int, err error) {
	p.log.Warn("discovery response cannot be used", "status", status, "error", err)
	p.disconnect(now, c)
}

// handleList handles a line from discovery: a list, or an empty line as a heartbeat.
//
// If part of a list cannot be parsed, its changes would be lost permanently once the version advances. The connection
// stays open for other changes, and an additional connection requests everything since the last complete version.
func (p *Program) handleList(now float64, c *connection, line []byte) {
	if len(line) > 0 {
		if !p.applyList(now, c, line) {
			return
		}
		c.lists.delivered = true
		p.scheduleRefetch(now, c)
	}
	if p.discovery.candidate == c {
		p.activate(&p.discovery.peer)
	}
}

// applyList applies a list from discovery. It returns false if it has closed the connection because the versions on it do
// not continue those that the coordinator knows.
func (p *Program) applyList(now float64, c *connection, line []byte) bool {
	list, err := discovery.Parse(line)
	if err != nil {
		p.counts.malformed++
		p.endpoints.MarkIncomplete()
		return true
	}
	first := !c.lists.delivered
	if first && !c.lists.fullList && !list.Full && list.Version < p.endpoints.NewestVersion() {
		p.discovery.fullListFirst = true
		p.disconnect(now, c)
		return false
	}
	p.trace("discovery list", line)
	p.endpoints.Apply(list, first, &p.events)
	p.scheduleRound(now)
	return true
}

// scheduleRefetch schedules a replacement connection while the set of servers is incomplete, with exponential backoff.
func (p *Program) scheduleRefetch(now float64, c *connection) {
	watch := &p.discovery
	if !p.endpoints.Incomplete() {
		watch.replaceAt = 0
		if now-c.dialledAt > maxRefetchBackoff { // the first list of a new connection does not show that later lists are readable
			watch.incompleteLists = 0
		}
		return
	}
	if watch.replaceAt != 0 {
		return
	}
	backoff := min(minRefetchBackoff*float64(int(1)<<min(watch.incompleteLists, maxRefetchDoublings)), maxRefetchBackoff)
	watch.incompleteLists++
	watch.replaceAt = now + backoff
	p.log.Warn("discovery list is incomplete", "retry_after_seconds", backoff)
}
