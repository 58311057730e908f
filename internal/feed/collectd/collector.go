// Package collectd reads load reports in collectd's binary network protocol and passes them to a fleet. It
// reads these value lists:
//
//	host = proxy UID, plugin snowquay, plugin instance = server address, type snowquay_traffic:
//	    derive attempts, derive failed attempts, derive total microseconds of the successful ones
//	host = proxy UID, plugin snowquay, plugin instance = class, type snowquay_demand:
//	    derive requests, derive failed requests
//	host = server address, plugin uptime, type uptime: gauge seconds
//
// If packets need not be signed, the value lists may also come as lines of collectd's plain text protocol
// (PUTVAL) in datagrams. All others are ignored, because a network may carry other measurements. The package
// does no I/O.
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

// MaxPacketBytes is the maximum size of a packet, which is that of collectd.
const MaxPacketBytes = 65535

const (
	signaturePartType   = 0x0200 // type of the part that signs all parts after it
	signatureHeaderSize = 4 + 32 // type, length and HMAC-SHA-256 in bytes; the user follows
	maxPartTypeHighByte = 0x02   // maximum first byte of a packet of the binary protocol
)

// ErrInvalidPacket is returned for a packet that was rejected as a whole.
var ErrInvalidPacket = errors.New("measurement packet not read")

// Collector passes the content of packets to a fleet.
type Collector struct {
	Packets   int // received
	Malformed int // rejected packets and lines
	Foreign   int // value lists that were ignored

	fleet   *controlplane.Fleet
	options network.ParseOpts
}

// New returns a collector. With a key, it accepts only packets that the user has signed with the key by
// HMAC-SHA-256.
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

// Password returns the key of the user.
func (c credentials) Password(user string) (string, error) {
	if user != c.user {
		return "", fmt.Errorf("no key for user %q", user)
	}
	return c.key, nil
}

// PacketUser returns the user who claims to have signed a packet, or false if it is not signed. The
// signature is not verified.
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

// Packet reads one datagram. A binary packet is read as a whole before any of it is passed on, so that a
// malformed packet changes nothing; with a key, values that are not signed are not parsed. Errors wrap
// ErrInvalidPacket, or ErrInvalidLine if lines of a text were rejected.
func (c *Collector) Packet(now float64, packet []byte) (err error) {
	c.Packets++
	defer func() { // the parser is given arbitrary bytes from the network
		if reason := recover(); reason != nil {
			c.Malformed++
			err = fmt.Errorf("%w: the parser failed: %v", ErrInvalidPacket, reason)
		}
	}()
	if isText(packet) {
		if c.options.PasswordLookup != nil {
			c.Malformed++
			return fmt.Errorf("%w: text is not taken where measurements are signed", ErrInvalidPacket)
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
		return fmt.Errorf("%w: %d bytes, %d at most", ErrInvalidPacket, len(packet), MaxPacketBytes)
	}
	for _, list := range lists {
		c.report(now, list)
	}
	return nil
}

// isText reports whether a packet cannot be one of the binary protocol.
func isText(packet []byte) bool {
	return len(packet) > 0 && len(packet) <= MaxPacketBytes && packet[0] > maxPartTypeHighByte
}

// report passes a value list to the fleet, or counts it as foreign.
func (c *Collector) report(now float64, list *api.ValueList) {
	if !c.tryReport(now, list) {
		c.Foreign++
	}
}

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

// readTotals reads attempts, failed attempts and, if there is a third value, microseconds. It returns false
// if the number of values is not count, or if one of them is not a derive.
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
