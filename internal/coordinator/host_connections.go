package coordinator

import (
	"net/http"
	"net/netip"
	"slices"

	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/frontend/longpollhttp"
)

// Opened implements env.Program.
func (h *Host) Opened(now float64, conn env.Conn, from netip.Addr, port uint16) {
	if h.links.opened(now, conn, from, port) {
		return
	}
	frontend := tenancy.SASP
	if h.config.HTTP.IsValid() && port == h.config.HTTP.Port() {
		frontend = tenancy.HTTP
	}
	reason := h.Router.Opened(now, tenancy.Conn(conn), from, frontend)
	if reason != tenancy.NotRejected {
		h.io.Close(conn)
		return
	}
	h.unidentified[conn] = from
}

// Connected implements env.Program. A host dials only its group and the Graphite receiver.
func (h *Host) Connected(now float64, conn env.Conn, ok bool) { h.links.connected(now, conn, ok) }

// Receive implements env.Program.
func (h *Host) Receive(now float64, conn env.Conn, data []byte) {
	switch h.links.receive(now, conn, data) {
	case graphiteLink:
		return
	case peerLink:
		h.runRequestedTurns(now)
		return
	case clientLink:
	}
	tenant := h.tenantOf(conn)
	if tenant == nil {
		tenant, data = h.identify(now, conn, data)
	}
	if tenant == nil {
		return
	}
	h.call(now, tenant, func() { tenant.Coordinator.Receive(now, conn, data) })
	h.chargeInput(now, tenant, len(data))
}

// Closed implements env.Program.
func (h *Host) Closed(now float64, conn env.Conn) {
	if h.links.closed(now, conn) {
		return
	}
	tenant := h.tenantOf(conn)
	delete(h.unidentified, conn)
	h.Router.Closed(tenancy.Conn(conn))
	if tenant == nil {
		return
	}
	h.call(now, tenant, func() { tenant.Coordinator.Closed(now, conn) })
	h.chargeInput(now, tenant, 0)
}

// Delivered implements env.Program.
func (h *Host) Delivered(now float64, conn env.Conn, total uint64) {
	if h.links.delivered(now, conn, total) {
		return
	}
	tenant := h.tenantOf(conn)
	if tenant != nil {
		h.call(now, tenant, func() { tenant.Coordinator.Delivered(now, conn, total) })
	}
}

// MaxTotalUnread implements eventloop.TotalUnreadLimiter, in bytes.
func (h *Host) MaxTotalUnread() int { return maxTotalUnreadBytes }

// Datagram implements env.Program: it handles a measurement packet. The user name in the packet determines the tenant, whose key
// verifies the packet's signature.
func (h *Host) Datagram(now float64, data []byte) {
	user, ok := collectd.PacketUser(data)
	if !ok {
		h.Stats.UnsignedPackets++
		return
	}
	tenant := h.running(h.measurementUsers[user])
	if tenant == nil {
		h.Stats.UnknownUserPackets++
		return
	}
	h.call(now, tenant, func() { tenant.Coordinator.Datagram(now, data) })
	h.chargeInput(now, tenant, len(data))
}

// running returns the tenant with the given name; nil if it is not running.
func (h *Host) running(name tenancy.Name) *TenantRuntime {
	tenant := h.tenants[name]
	if tenant == nil || tenant.Coordinator == nil {
		return nil
	}
	return tenant
}

// tenantOf returns the running tenant of a connection; nil if there is none.
func (h *Host) tenantOf(conn env.Conn) *TenantRuntime {
	name, ok := h.Router.Tenant(tenancy.Conn(conn))
	if !ok {
		return nil
	}
	return h.running(name)
}

// identify handles data of a connection whose tenant is not known. If the data identifies a running tenant, identify opens
// the connection at that tenant and returns the tenant with all data that the connection has sent so far. A connection that
// can't be served is closed.
func (h *Host) identify(now float64, conn env.Conn, data []byte) (*TenantRuntime, []byte) {
	from, open := h.unidentified[conn]
	if !open {
		return nil, nil
	}
	route := h.Router.Receive(now, tenancy.Conn(conn), data)
	accepted := route.Reason == tenancy.NotRejected
	if accepted && route.Tenant == "" {
		return nil, nil // more data is needed
	}
	delete(h.unidentified, conn)
	tenant := h.running(route.Tenant)
	if accepted && tenant != nil {
		opened := h.call(now, tenant, func() { tenant.Coordinator.Opened(now, conn, from, h.port(route.Frontend)) })
		if !opened {
			return nil, nil
		}
		return tenant, route.Bytes
	}
	if route.Reason == tenancy.TenantStarting {
		h.startEarlier(route.Tenant)
	}
	if route.Frontend == tenancy.HTTP {
		h.io.Send(conn, rejection(route))
	}
	h.Router.Closed(tenancy.Conn(conn))
	h.io.Close(conn)
	return nil, nil
}

// startEarlier moves a tenant to the front of the start queue, since a client has tried to connect to it.
func (h *Host) startEarlier(name tenancy.Name) {
	tenant := h.tenants[name]
	if tenant == nil || tenant.Err != nil {
		return
	}
	position := slices.Index(h.startQueue, name)
	if position > 0 {
		h.startQueue = slices.Delete(h.startQueue, position, position+1)
		h.startQueue = slices.Insert(h.startQueue, 0, name)
	}
}

// closeExpired closes the connections that have not identified themselves in time.
func (h *Host) closeExpired(now float64) {
	h.closeConnections(h.Router.TakeExpired(now))
}

// closeConnections closes unidentified connections that the router has removed, and returns their number.
func (h *Host) closeConnections(removed []tenancy.Conn) int {
	for _, conn := range removed {
		delete(h.unidentified, env.Conn(conn))
		h.io.Close(env.Conn(conn))
	}
	return len(removed)
}

func (h *Host) port(frontend tenancy.Frontend) uint16 {
	if frontend == tenancy.HTTP {
		return h.config.HTTP.Port()
	}
	return h.config.SASP.Port()
}

// rejectionResponse is the HTTP status and problem type of a rejected connection.
type rejectionResponse struct {
	status int
	kind   string
}

var rejectionResponses = map[tenancy.RejectReason]rejectionResponse{
	tenancy.MalformedIdentity:     {status: http.StatusNotFound, kind: "not-found"},
	tenancy.UnknownTenant:         {status: http.StatusNotFound, kind: "no-tenant"},
	tenancy.NetworkNotAllowed:     {status: http.StatusForbidden, kind: "outside"},
	tenancy.TenantStarting:        {status: http.StatusServiceUnavailable, kind: "starting"},
	tenancy.TenantConnectionsFull: {status: http.StatusServiceUnavailable, kind: "crowded"},
	tenancy.AcceptRateExceeded:    {status: http.StatusTooManyRequests, kind: "too-often"},
}

func rejection(route tenancy.RouteResult) []byte {
	response := rejectionResponses[route.Reason]
	return longpollhttp.RejectResponse(response.status, response.kind, route.Reason.String(), route.RetryAfter)
}
