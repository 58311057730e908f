package service

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"time"

	"snowquay/internal/core/share"
	"snowquay/internal/run"
	"snowquay/internal/wire/peer"
)

const toolWithin = 3 * time.Second // for a coordinator to answer the command line

// GroupStatus asks the coordinator at an address how its group is.
func GroupStatus(at netip.AddrPort, key []byte) (s run.Status, err error) {
	return ask(at, key, nil)
}

// GroupRemove orders a coordinator to be taken out for good, by way of the one at an address. It is done when a status
// says so.
func GroupRemove(at netip.AddrPort, key []byte, n share.Number) (run.Status, error) {
	return ask(at, key, &share.Command{Kind: share.Unseat, Number: n})
}

// ask sends a command, if any, and asks for the status.
func ask(at netip.AddrPort, key []byte, order *share.Command) (s run.Status, err error) {
	c, err := net.DialTimeout("tcp", at.String(), toolWithin)
	if err != nil {
		return s, err
	}
	defer c.Close()
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
	if _, err := c.Write(peer.Append(b, key, peer.Frame{Kind: peer.Ask})); err != nil {
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
