package eventloop

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	deliveryCheckInterval = 5 * time.Millisecond // interval of checks while bytes are undelivered
	minTickInterval       = time.Millisecond
	// timerMargin is added to the duration of a timer, so that the timer does not expire early because of rounding.
	timerMargin = time.Microsecond
	// noTick is the interval of gnet's ticker when it is not needed.
	noTick = 1000 * time.Hour
)

// OnTick implements gnet.EventHandler. gnet calls it on a goroutine beside its loops; what is due runs on the loop, which owns the
// connections.
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

// untilTimer returns the duration until the program's timer expires; it is negative if the timer is overdue or not set.
func (s *Server) untilTimer() time.Duration {
	return time.Duration((s.wakeAt - s.clock()) * float64(time.Second))
}

// timerExpired is called when timer expires, which is used for a DeliveryIgnorer.
func (s *Server) timerExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.scheduleDue()
	}
}

// scheduleDue runs runDue on the loop. If there is no connection, the loop may not be known yet, and scheduleDue calls runDue
// itself.
func (s *Server) scheduleDue() {
	if len(s.conns) == 0 || s.loop == nil {
		s.runDue()
		return
	}
	_ = s.execute(s.loop, s.runDue) // an error means that the loop has ended, and the program with it
}

// runDue reports deliveries to the program, and the expiry of its timer.
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
	if s.ignoresDelivery { // the timer expired early
		s.SetTimer(s.wakeAt, s.timerKey)
	}
}

// reportDeliveries reports to the program how many bytes the peers' hosts have received: all bytes sent, except those that are
// buffered in this process and those that are not yet acknowledged according to the kernel (SIOCOUTQ, tcp(7)).
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
		if uint64(outstanding) <= c.sentBytes {
			s.program.Delivered(now, id, c.sentBytes-uint64(outstanding))
		}
	}
}

// SetTimer implements env.IO. A new timer replaces the one that is set.
func (s *Server) SetTimer(at float64, key int) {
	s.wakeAt = at
	s.timerKey = key
	if s.ignoresDelivery {
		s.timer.Reset(max(s.untilTimer(), 0) + timerMargin)
	}
}
