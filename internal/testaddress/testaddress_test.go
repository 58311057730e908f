package testaddress

import (
	"net"
	"net/netip"
	"testing"
)

// Guards against programs in tests that find their port taken by another program of the test. Coordinators tell their fronts apart by
// the port alone.
func TestAddressesAreUsedOnce(t *testing.T) {
	addresses := map[netip.Addr]bool{}
	ports := map[uint16]bool{}
	for range 600 {
		address := Next()
		if addresses[address.Addr()] || ports[address.Port()] {
			t.Fatalf("the IP address or the port of %v was returned before", address)
		}
		addresses[address.Addr()] = true
		ports[address.Port()] = true
	}
}

// Guards against a connection that takes the address of a program that has not been started yet.
func TestConnectionsHaveAnotherSource(t *testing.T) {
	address := Next()
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	source, err := netip.ParseAddrPort(conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	if source.Addr() == address.Addr() {
		t.Errorf("the connection comes from %v, the address that it goes to", source)
	}
}
