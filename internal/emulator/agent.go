package emulator

import (
	"net/netip"

	"snowquay/internal/env"
	"snowquay/internal/wire/sasp"
)

const agentRedialSeconds = 0.2 // delay until the next coordinator is dialed

// Agent starts or ends the drain of a server: it sends the order to the first coordinator that it reaches, and disconnects
// when the order is confirmed or refused.
type Agent struct {
	ignoredEvents
	Coordinators []netip.AddrPort // dialed in rotation until one replies
	Server       netip.AddrPort
	FleetUID     string
	Group        string
	Quiesce      bool // whether the order starts the drain or ends it
	Checker      *InvariantChecker

	io          env.IO
	coordinator int // number of redials; selects the coordinator to dial
	session     saspSession
	done        bool // a coordinator has replied
}

// Start implements env.Program.
func (a *Agent) Start(_ float64, io env.IO) {
	a.io = io
	io.Dial(a.Coordinators[0])
}

// Connected implements env.Program. It sends the order.
func (a *Agent) Connected(now float64, conn env.Conn, ok bool) {
	if !ok {
		a.io.SetTimer(now+agentRedialSeconds, 0)
		return
	}
	row := sasp.Row{Address: sasp.AddressOf(a.Server)}
	if a.Quiesce {
		row.Flags = sasp.Quiesce
	} else { // a coordinator may end the drain before it confirms the order
		a.Checker.DrainChanged(now, a.Server, false)
	}
	a.io.Send(conn, a.session.write(&sasp.Message{
		Kind:   sasp.SetMember,
		Rows:   []sasp.Row{row},
		Groups: []sasp.Group{{UID: []byte(a.FleetUID), Name: []byte(a.Group), To: 1}},
	}))
}

// Receive implements env.Program. It handles the reply to the order.
func (a *Agent) Receive(now float64, conn env.Conn, b []byte) {
	a.session.read(b, func(message *sasp.Message) {
		a.done = true
		if message.Code == sasp.OK {
			a.Checker.DrainChanged(now, a.Server, a.Quiesce)
		} else {
			a.Checker.recordProtocolError(now, "drain agent of server %s: coordinator replied %s", a.Server, message.Code)
		}
		a.io.Close(conn)
	})
}

// Closed implements env.Program. It redials unless a coordinator has replied.
func (a *Agent) Closed(now float64, _ env.Conn) {
	if !a.done {
		a.io.SetTimer(now+agentRedialSeconds, 0)
	}
}

// TimerFired implements env.Program. It dials the next coordinator.
func (a *Agent) TimerFired(float64, int) {
	if !a.done {
		a.coordinator++
		a.io.Dial(a.Coordinators[a.coordinator%len(a.Coordinators)])
	}
}
