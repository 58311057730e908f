package emulator

import (
	"net/netip"

	"snowquay/internal/env"
)

// ignoredEvents implements every callback of env.Program but Start as a no-op. Emulated programs embed it and override the
// callbacks that they need.
type ignoredEvents struct{}

// Opened implements env.Program.
func (ignoredEvents) Opened(float64, env.Conn, netip.Addr, uint16) {}

// Connected implements env.Program.
func (ignoredEvents) Connected(float64, env.Conn, bool) {}

// Receive implements env.Program.
func (ignoredEvents) Receive(float64, env.Conn, []byte) {}

// Closed implements env.Program.
func (ignoredEvents) Closed(float64, env.Conn) {}

// Delivered implements env.Program.
func (ignoredEvents) Delivered(float64, env.Conn, uint64) {}

// Datagram implements env.Program.
func (ignoredEvents) Datagram(float64, []byte) {}

// TimerFired implements env.Program.
func (ignoredEvents) TimerFired(float64, int) {}
