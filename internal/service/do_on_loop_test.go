package service

import (
	"net"
	"net/netip"
	"testing"

	"snowquay/internal/env"
	"snowquay/internal/frontend/eventloop"
)

// idleProgram is an env.Program that does nothing.
type idleProgram struct{}

func (idleProgram) Start(float64, env.IO)                        {}
func (idleProgram) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (idleProgram) Connected(float64, env.Conn, bool)            {}
func (idleProgram) Receive(float64, env.Conn, []byte)            {}
func (idleProgram) Closed(float64, env.Conn)                     {}
func (idleProgram) Delivered(float64, env.Conn, uint64)          {}
func (idleProgram) Datagram(float64, []byte)                     {}
func (idleProgram) TimerFired(float64, int)                      {}

// A panic of a function that doOnLoop calls is raised on the caller's goroutine, and the event loop continues.
func TestPanicOnLoopIsRaisedOnCaller(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(free.Addr().String())
	_ = free.Close()
	server, err := eventloop.Listen(idleProgram{}, []netip.AddrPort{address}, netip.AddrPort{}, eventloop.Clock())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address.String()) // after the first event, calls run on the goroutine of the loop
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raised := func() (cause any) {
		defer func() { cause = recover() }()
		doOnLoop(server, func(float64) { panic("planted") })
		return nil
	}
	for range 3 {
		if cause := raised(); cause != "planted" {
			t.Errorf("the call panicked with %v, want planted", cause)
		}
	}
	called := false
	doOnLoop(server, func(float64) { called = true })
	if !called {
		t.Error("the event loop does not run calls after a panic")
	}
	if err := server.Stop(); err != nil {
		t.Error(err)
	}
}
