package emulator

import (
	"net/netip"

	"snowquay/internal/env"
)

// ignoredEvents implements the callbacks of env.Program that most emulated programs have no use for. A program embeds it
// and defines the callbacks that it needs.
type ignoredEvents struct{}

// Opened of env.Program.
func (ignoredEvents) Opened(float64, env.Conn, netip.Addr, uint16) {}

// Connected of env.Program.
func (ignoredEvents) Connected(float64, env.Conn, bool) {}

// Receive of env.Program.
func (ignoredEvents) Receive(float64, env.Conn, []byte) {}

// Closed of env.Program.
func (ignoredEvents) Closed(float64, env.Conn) {}

// Delivered of env.Program.
func (ignoredEvents) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (ignoredEvents) Datagram(float64, []byte) {}

// TimerFired of env.Program.
func (ignoredEvents) TimerFired(float64, int) {}
