// Package collectd reads load reports in collectd's binary network protocol and passes them to a fleet. It
// reads these value lists:
//
//	host = proxy UID, plugin snowquay, plugin instance = server address, type snowquay_traffic:
//	    derive attempts, derive failed attempts, derive total microseconds of the successful ones
//	host = proxy UID, plugin snowquay, plugin instance = class, type snowquay_demand:
//	    derive requests, derive failed requests
//	host = server address, plugin uptime, type uptime: gauge seconds
//
// If packets need not be signed, the value lists may also be sent in datagrams as lines of collectd's plain
// text protocol (PUTVAL). All other value lists are ignored, because the network may carry other measurements.
// The package performs no I/O.
package collectd

import (
	"encoding/binary"
	"errors"
	"fmt"

	"collectd.org/api"
	"collectd.org/network"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/loadreport"
)

const (
	pluginName  = "snowquay"
	trafficType = "snowquay_traffic"
	demandType  = "snowquay_demand"
	uptimeType  = "uptime"

	trafficValues = 3 // attempts, failed attempts, microseconds
	demandValues  = 2 // requests, failed requests
	uptimeValues  = 1 // seconds

	secondsPerMicrosecond = 1e-6
	nanosecondsPerSecond  = 1e9
)

// MaxPacketBytes is the maximum size of a packet. collectd has the same limit.
const MaxPacketBytes = 65535

const (
	signaturePartType   = 0x0200 // type of the part that contains the signature of all parts after it
	signatureHeaderSize = 4 + 32 // bytes of type, length and HMAC-SHA-256; the user name follows
	maxPartTypeHighByte = 0x02   // maximum first byte of a packet in the binary protocol
)

// ErrInvalidPacket is returned for a packet that was rejected as a whole.
var ErrInvalidPacket = errors.New("invalid measurement packet")

// Collector parses packets and passes the load reports in them to a fleet.
type Collector struct {
	Packets   int // received packets, including rejected ones
	Malformed int // rejected packets and rejected lines of text
	Foreign   int // value lists that were ignored because they are not load reports

	fleet   *controlplane.Fleet
	options network.ParseOpts
}

// New returns a collector. If the key is not empty, the collector accepts only packets that the user has signed
// with it by HMAC-SHA-256.
func New(fleet *controlplane.Fleet, user, key string) *Collector {
	c := &Collector{fleet: fleet}
	if key != "" {
		c.options = network.ParseOpts{
			PasswordLookup: credentials{user: user, key: key},
			SecurityLevel:  network.Sign,
		}
	}
	return c
}

// credentials implements network.PasswordLookup for one user.
type credentials struct {
	user string
	key  string
}

// Password implements network.PasswordLookup. It returns the key of the user.
func (c credentials) Password(user string) (string, error) {
	if user != c.user {
		return "", fmt.Errorf("no key for user %q", user)
	}
	return c.key, nil
}

// PacketUser returns the name of the user who claims to have signed a packet, or false if the packet is not
// signed. It does not verify the signature.
func PacketUser(packet []byte) (string, bool) {
	if len(packet) < signatureHeaderSize || binary.BigEndian.Uint16(packet) != signaturePartType {
		return "", false
	}
	length := int(binary.BigEndian.Uint16(packet[2:]))
	if length <= signatureHeaderSize || length > len(packet) {
		return "", false
	}
	return string(packet[signatureHeaderSize:length]), true
}

// Packet parses one datagram and passes its load reports to the fleet. A binary packet is parsed as a whole
// before any of its reports is passed on, so that a malformed packet changes nothing. If the collector has a
// key, values that are not signed are not parsed. Errors wrap ErrInvalidPacket, or ErrInvalidLine if lines of
// text were rejected.
func (c *Collector) Packet(now float64, packet []byte) (err error) {
	c.Packets++
	defer func() { // the parser processes arbitrary bytes from the network and may panic
		if reason := recover(); reason != nil {
			c.Malformed++
			err = fmt.Errorf("%w: the parser panicked: %v", ErrInvalidPacket, reason)
		}
	}()
	if isText(packet) {
		if c.options.PasswordLookup != nil {
			c.Malformed++
			return fmt.Errorf("%w: plain text is not accepted, because packets must be signed", ErrInvalidPacket)
		}
		return c.readText(now, packet)
	}
	lists, err := network.Parse(packet, c.options)
	if err != nil {
		c.Malformed++
		return fmt.Errorf("%w: %w", ErrInvalidPacket, err)
	}
	if len(packet) > MaxPacketBytes {
		c.Malformed++
		return fmt.Errorf("%w: %d bytes exceed the maximum of %d", ErrInvalidPacket, len(packet), MaxPacketBytes)
	}
	for _, list := range lists {
		c.report(now, list)
	}
	return nil
}

// isText reports whether a packet cannot be in the binary protocol and is therefore parsed as text.
func isText(packet []byte) bool {
	return len(packet) > 0 && len(packet) <= MaxPacketBytes && packet[0] > maxPartTypeHighByte
}

// report passes a value list to the fleet, or counts it as foreign if it is not a load report.
func (c *Collector) report(now float64, list *api.ValueList) {
	if !c.tryReport(now, list) {
		c.Foreign++
	}
}

// tryReport passes a value list to the fleet. It returns false if the list is not a load report.
func (c *Collector) tryReport(now float64, list *api.ValueList) bool {
	at := float64(list.Time.UnixNano()) / nanosecondsPerSecond
	switch {
	case list.Plugin == pluginName && list.Type == trafficType:
		totals, ok := readTotals(list.Values, trafficValues)
		if !ok {
			return false
		}
		c.fleet.ReportUpstream(now, at, list.Host, balancer.Server(list.PluginInstance), totals)
		return true
	case list.Plugin == pluginName && list.Type == demandType:
		totals, ok := readTotals(list.Values, demandValues)
		if !ok {
			return false
		}
		c.fleet.ReportDemand(now, at, list.Host, list.PluginInstance, totals)
		return true
	case list.Type == uptimeType && len(list.Values) == uptimeValues:
		seconds, ok := list.Values[0].(api.Gauge)
		if !ok {
			return false
		}
		c.fleet.ObserveUptime(now, balancer.Server(list.Host), float64(seconds))
		return true
	}
	return false
}

// readTotals reads the numbers of attempts and failed attempts and, if there is a third value, microseconds.
// It returns false if the number of values is not count, or if one of them is not a derive.
func readTotals(values []api.Value, count int) (loadreport.Totals, bool) {
	if len(values) != count {
		return loadreport.Totals{}, false
	}
	var numbers [trafficValues]float64
	for i, value := range values {
		derive, ok := value.(api.Derive)
		if !ok {
			return loadreport.Totals{}, false
		}
		numbers[i] = float64(derive)
	}
	return loadreport.Totals{
		Attempts:   numbers[0],
		Failed:     numbers[1],
		LatencySum: numbers[2] * secondsPerMicrosecond,
	}, true
}
