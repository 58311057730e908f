// Package testaddress gives tests loopback addresses for the programs that they start.
package testaddress

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	firstNetwork  = 64   // second byte of the first IP address
	networks      = 128  // number of second bytes; the process ID selects one of them
	hostsPerThird = 250  // number of fourth bytes for each third byte
	firstPort     = 8000 // below the ports that the kernel chooses
)

// returned is the number of addresses that this process has returned.
var returned atomic.Uint32

// Next returns an address that nothing listens on. Its IP address and its port are used only once in this process, and the IP address
// is never the source of a connection, so that a program that is started later, or restarted, finds the port free. Other test
// processes use other IP addresses, unless their process IDs are equal modulo networks.
func Next() netip.AddrPort {
	number := returned.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(firstNetwork + os.Getpid()%networks), byte(number / hostsPerThird), byte(1 + number%hostsPerThird)})
	return netip.AddrPortFrom(ip, uint16(firstPort+number))
}
