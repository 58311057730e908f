package saspsession

import (
	"fmt"
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

const protocolTCP = 6 // protocol number assigned by IANA

// ServerID returns the name of the server with the given address: its IP address and port, preceded by the protocol number if
// the protocol is not TCP.
func ServerID(address sasp.Address) balancer.Server {
	if address.Protocol == protocolTCP {
		return balancer.Server(address.AddrPort().String())
	}
	return balancer.Server(fmt.Sprintf("%d/%s", address.Protocol, address.AddrPort()))
}

// serverAt returns the name of the server with the given address. The names of servers in the registry are cached.
func (s *Server) serverAt(address sasp.Address) balancer.Server {
	if server, ok := s.addressNames[address]; ok {
		return server
	}
	server := ServerID(address)
	if _, ok := s.fleet.Registry.Find(server); ok {
		s.addressNames[address] = server
		s.serverAddresses[server] = address
	}
	return server
}

// addressOf returns the address of a server in the registry. ok is false if the settings give the server a name that is
// not an IP address with a port, which SASP cannot represent.
func (s *Server) addressOf(server balancer.Server) (address sasp.Address, ok bool) {
	if address, ok := s.serverAddresses[server]; ok {
		return address, true
	}
	addrPort, err := netip.ParseAddrPort(string(server))
	if err != nil {
		return sasp.Address{}, false
	}
	address = sasp.AddressOf(addrPort)
	s.addressNames[address] = server
	s.serverAddresses[server] = address
	return address, true
}
