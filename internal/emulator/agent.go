package emulator

import (
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/wire/sasp"
)

const agentRedialSeconds = 0.2

// Agent orders a server's drain, or its end, from the first coordinator that it reaches, and leaves.
type Agent struct {
	ignoredEvents
	Coordinators []netip.AddrPort // tried in turn
	Server       netip.AddrPort
	FleetUID     string
	Group        string
	Quiesce      bool // begins the drain; otherwise ends it
	Checker      *InvariantChecker

	io          env.IO
	coordinator int
	session     saspSession
	done        bool
}

// Start of env.Program.
func (a *Agent) Start(_ float64, io env.IO) {
	a.io = io
	io.Dial(a.Coordinators[0])
}

// Connected of env.Program.
func (a *Agent) Connected(now float64, conn env.Conn, ok bool) {
	if !ok {
		a.io.SetTimer(now+agentRedialSeconds, 0)
		return
	}
	row := sasp.Row{Address: sasp.AddressOf(a.Server)}
	if a.Quiesce {
		row.Flags = sasp.Quiesce
	} else { // the end of a drain may take effect before it is confirmed
		a.Checker.DrainChanged(now, a.Server, false)
	}
	a.io.Send(conn, a.session.write(&sasp.Message{
		Kind:   sasp.SetMember,
		Rows:   []sasp.Row{row},
		Groups: []sasp.Group{{UID: []byte(a.FleetUID), Name: []byte(a.Group), To: 1}},
	}))
}

// Receive of env.Program: the coordinator confirms the order.
func (a *Agent) Receive(now float64, conn env.Conn, b []byte) {
	a.session.read(b, func(message *sasp.Message) {
		a.done = true
		if message.Code == sasp.OK {
			a.Checker.DrainChanged(now, a.Server, a.Quiesce)
		} else {
			a.Checker.recordProtocolError(now, "agent of %s: %s", a.Server, message.Code)
		}
		a.io.Close(conn)
	})
}

// Closed of env.Program.
func (a *Agent) Closed(now float64, _ env.Conn) {
	if !a.done {
		a.io.SetTimer(now+agentRedialSeconds, 0)
	}
}

// TimerFired of env.Program: it tries the next coordinator.
func (a *Agent) TimerFired(float64, int) {
	if !a.done {
		a.coordinator++
		a.io.Dial(a.Coordinators[a.coordinator%len(a.Coordinators)])
	}
}
