package eventloop

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	deliveryCheckInterval = 5 * time.Millisecond // while bytes are on their way to a peer's host
	minTickInterval       = time.Millisecond
	// timerMargin is added to the time until a timer, so that rounding does not make it expire too early.
	timerMargin = time.Microsecond
	// noTick is the interval of the ticker if it is not needed.
	noTick = 1000 * time.Hour
)

// OnTick implements gnet.EventHandler. gnet calls it beside its loops; what is due runs on the loop that owns the connections.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	s.tickingOnce.Do(func() { close(s.ticking) })
	if s.ignoresDelivery {
		return noTick, gnet.None
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return loopTimeout, gnet.None
	}
	s.scheduleDue()
	wait := s.untilTimer()
	if len(s.undelivered) > 0 {
		wait = min(wait, deliveryCheckInterval)
	}
	return max(wait, minTickInterval), gnet.None
}

// untilTimer returns the time until the program's timer expires; it is negative if that time has passed or no timer is set.
func (s *Server) untilTimer() time.Duration {
	return time.Duration((s.wakeAt - s.clock()) * float64(time.Second))
}

// timerExpired is called by the timer of a program that ignores delivery.
func (s *Server) timerExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.scheduleDue()
	}
}

// scheduleDue runs what is due on the loop; at once if there is no connection, and so perhaps no loop.
func (s *Server) scheduleDue() {
	if len(s.conns) == 0 || s.loop == nil {
		s.runDue()
		return
	}
	_ = s.execute(s.loop, s.runDue) // if the loop has ended, the program has too
}

// runDue reports deliveries and the timer to the program.
func (s *Server) runDue() {
	if s.stopped {
		return
	}
	s.reportDeliveries()
	if s.wakeAt <= 0 {
		return
	}
	now := s.clock()
	if now >= s.wakeAt {
		s.wakeAt = 0
		s.program.TimerFired(now, s.timerKey)
		return
	}
	if s.ignoresDelivery { // the timer has expired early
		s.SetTimer(s.wakeAt, s.timerKey)
	}
}

// reportDeliveries reports to the program how much the peers' hosts have received: all that was sent, except for what waits in
// this process and what the kernel has not seen acknowledged (SIOCOUTQ, tcp(7)).
func (s *Server) reportDeliveries() {
	now := s.clock()
	for id, c := range s.undelivered {
		outstanding, err := unix.IoctlGetInt(c.gnet.Fd(), unix.SIOCOUTQ)
		if err != nil {
			delete(s.undelivered, id)
			continue
		}
		outstanding += c.gnet.OutboundBuffered()
		if outstanding == 0 {
			delete(s.undelivered, id)
		}
		if uint64(outstanding) <= c.sent {
			s.program.Delivered(now, id, c.sent-uint64(outstanding))
		}
	}
}

// SetTimer implements env.IO. Only the latest timer is kept.
func (s *Server) SetTimer(at float64, key int) {
	s.wakeAt = at
	s.timerKey = key
	if s.ignoresDelivery {
		s.timer.Reset(max(s.untilTimer(), 0) + timerMargin)
	}
}
