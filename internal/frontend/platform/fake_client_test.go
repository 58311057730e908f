package platform

import "snowquay/internal/env"

// fakeClient opens any number of connections to the program in the simulated network.
type fakeClient struct {
	idleProgram
	conns     []env.Conn
	greetings map[env.Conn][]byte // data sent as soon as the connection is established
	received  map[env.Conn]string
	openedAt  map[env.Conn]float64
	closedAt  map[env.Conn]float64
}

func newFakeClient() *fakeClient {
	return &fakeClient{
		greetings: map[env.Conn][]byte{},
		received:  map[env.Conn]string{},
		openedAt:  map[env.Conn]float64{},
		closedAt:  map[env.Conn]float64{},
	}
}

func (c *fakeClient) dial(greeting []byte) env.Conn {
	conn := c.io.Dial(selfAddress)
	c.conns = append(c.conns, conn)
	c.greetings[conn] = greeting
	return conn
}

func (c *fakeClient) Connected(now float64, conn env.Conn, ok bool) {
	c.openedAt[conn] = now
	if !ok {
		c.closedAt[conn] = now
		return
	}
	c.io.Send(conn, c.greetings[conn])
}

func (c *fakeClient) Receive(_ float64, conn env.Conn, b []byte) { c.received[conn] += string(b) }
func (c *fakeClient) Closed(now float64, conn env.Conn)          { c.closedAt[conn] = now }
