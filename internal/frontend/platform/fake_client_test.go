package platform

import (
	"snowquay/internal/env"
)

// caller is whoever connects to the coordinator.
type fakeClient struct {
	idleProgram
	conns     []env.Conn
	received  map[env.Conn]string
	closedAt  map[env.Conn]float64
	openedAt  map[env.Conn]float64
	greetings map[env.Conn][]byte
}

func newFakeClient() *fakeClient {
	return &fakeClient{received: map[env.Conn]string{}, closedAt: map[env.Conn]float64{}, openedAt: map[env.Conn]float64{}, greetings: map[env.Conn][]byte{}}
}

func (d *fakeClient) dial(b []byte) env.Conn {
	c := d.io.Dial(selfAddress)
	d.conns, d.greetings[c] = append(d.conns, c), b
	return c
}

func (d *fakeClient) Connected(now float64, c env.Conn, ok bool) {
	if d.openedAt[c] = now; !ok {
		d.closedAt[c] = now
		return
	}
	d.io.Send(c, d.greetings[c])
}

func (d *fakeClient) Receive(_ float64, c env.Conn, b []byte) { d.received[c] += string(b) }
func (d *fakeClient) Closed(now float64, c env.Conn)          { d.closedAt[c] = now }
