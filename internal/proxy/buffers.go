package proxy

import (
	"maps"
	"net/http"

	"snowquay/internal/core/bytebudget"
	"snowquay/internal/env"
)

// closeLargestClients closes the clients whose requests and responses take the most memory if those of all clients together take
// too much. A client without a request in flight is told so.
func (p *Proxy) closeLargestClients(now float64) {
	sizes := p.clientBytes()
	for _, id := range bytebudget.Excess(&p.buffered, maps.All(sizes)) {
		c := p.clients[id]
		if c == nil {
			continue
		}
		p.Stats.RejectedClients++
		p.config.Log("client closed: the requests and responses of all clients take too much memory", "bytes", sizes[id])
		if c.request != 0 {
			p.closeClient(now, c)
			continue
		}
		p.rejectClient(now, c, problem(http.StatusServiceUnavailable, "too much is sent at once by all clients", 1))
	}
}

// clientBytes returns the bytes of memory that the requests and responses of each client take.
func (p *Proxy) clientBytes() map[env.Conn]int {
	sizes := make(map[env.Conn]int, len(p.clients))
	for id, c := range p.clients {
		sizes[id] = cap(c.received) + c.parser.Memory()
	}
	for _, request := range p.requests {
		sizes[request.client.id] += cap(request.data) + cap(request.lastFailure)
	}
	for _, conn := range p.attempts {
		if request := p.requests[conn.request]; request != nil {
			sizes[request.client.id] += cap(conn.received) + conn.parser.Memory()
		}
	}
	return sizes
}
