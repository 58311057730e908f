package service

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/wire/peer"
)

const (
	toolWithin = 3 * time.Second        // for a coordinator to answer the command line
	removeAsk  = 200 * time.Millisecond // between two looks whether a removal is agreed on
)

// GroupStatus asks the coordinator at an address how its group is.
func GroupStatus(at netip.AddrPort, key []byte) (s coordinator.Status, err error) {
	return ask(at, key, nil)
}

// RemoveMember takes a coordinator out for good, by way of any of the others. A command may be lost while a leader is
// elected, so it is given again until one of them says that it is agreed on.
func RemoveMember(g *coordinator.GroupConfig, gone membership.MemberID, wait time.Duration) error {
	for end := time.Now().Add(wait); ; time.Sleep(removeAsk) {
		var last error
		for _, n := range slices.Sorted(maps.Keys(g.Members)) {
			if n == gone {
				continue
			}
			s, err := ask(g.Members[n], g.Key, nil)
			if err == nil && s.Registrations[gone].Removed {
				return nil
			}
			if _, known := s.Registrations[gone]; err == nil && !known {
				return fmt.Errorf("nobody has number %d", gone)
			}
			if err == nil {
				_, err = ask(g.Members[n], g.Key, &membership.Command{Kind: membership.RemoveRegistration, MemberID: gone})
			}
			if last = err; err == nil {
				break
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("it was not agreed on within %s: is a majority up? %w", wait, last)
		}
	}
}

// ask sends a command, if any, and asks for the status.
func ask(at netip.AddrPort, key []byte, order *membership.Command) (s coordinator.Status, err error) {
	c, err := net.DialTimeout("tcp", at.String(), toolWithin)
	if err != nil {
		return s, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(toolWithin)); err != nil {
		return s, err
	}
	var b []byte
	if order != nil {
		text, err := order.Encode()
		if err != nil {
			return s, err
		}
		b = peer.Append(b, key, peer.Frame{Kind: peer.Command, Message: text})
	}
	if _, err := c.Write(peer.Append(b, key, peer.Frame{Kind: peer.StatusRequest})); err != nil {
		return s, err
	}
	var buf []byte
	part := make([]byte, 16<<10)
	for {
		n, err := c.Read(part)
		if err != nil {
			return s, fmt.Errorf("no answer, as where the key is another one: %w", err)
		}
		buf = append(buf, part[:n]...)
		f, n, err := peer.Next(buf, key)
		if err != nil {
			return s, err
		}
		if n > 0 {
			return s, json.Unmarshal(f.Message, &s)
		}
	}
}
