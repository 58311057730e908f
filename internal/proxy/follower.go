package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"snowquay/balancer"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/core/tablecache"
	"snowquay/internal/env"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/http1"
	"snowquay/internal/wire/sasp"
)

const (
	redial     = 1.0  // seconds until a coordinator is dialled again, on average; less where there are several
	pollWait   = 20.0 // seconds that a poll waits
	pollShort  = 1.0  // likewise, where there are several: one that is paused is noticed by it
	beatEvery  = 1.0  // seconds between two looks whether the coordinator answers
	mostAnswer = 8 << 20
)

// follower is the connection to whichever coordinator leads the proxy.
type follower struct {
	p       *Proxy
	conn    env.Conn // 0: none
	up      bool
	joined  bool
	which   int
	dialAt  float64
	buf     []byte
	asked   float64 // when the poll, or the beat, went out
	waiting bool    // for its answer
	askAt   float64 // not to be asked before
	beatAt  float64
	id      uint32
	in      sasp.Message
}

func (s *follower) start(now float64, p *Proxy) {
	s.p = p
	if len(p.setup.Coordinators) > 0 {
		s.which = int(p.float() * float64(len(p.setup.Coordinators)))
		s.dial(now)
	}
}

func (s *follower) at() netip.AddrPort {
	if len(s.p.setup.Coordinators) == 0 {
		return netip.AddrPort{}
	}
	return s.p.setup.Coordinators[s.which]
}

func (s *follower) dial(now float64) {
	s.conn, s.up, s.buf, s.waiting, s.asked = s.p.io.Dial(s.at()), false, nil, false, now
}

// lose ends the connection; the next coordinator is dialled after a wait that varies.
func (s *follower) lose(now float64, why string) {
	if s.conn != 0 {
		s.p.io.Close(s.conn)
	}
	s.ended(now, why)
}

func (s *follower) ended(now float64, why string) {
	if s.joined {
		s.p.setup.Log("coordinator lost", "at", s.at(), "why", why, "age", s.p.Core.Tables.Age(now))
	}
	s.conn, s.up, s.waiting = 0, false, false
	s.leave(now)
	n := len(s.p.setup.Coordinators)
	s.dialAt = now + redial*(0.3+s.p.float())/float64(n)
	s.which = (s.which + 1) % n
}

func (s *follower) leave(now float64) {
	if s.joined && s.p.setup.Observer != nil {
		s.p.setup.Observer.Left(now)
	}
	s.joined = false
}

func (s *follower) join(now float64) {
	if s.joined {
		return
	}
	if s.joined = true; s.p.setup.Observer != nil {
		s.p.setup.Observer.Joined(now)
		s.p.setup.Observer.TableChanged(now, -1, s.p.has())
	}
}

func (s *follower) connected(now float64, id env.Conn, ok bool) bool {
	if id != s.conn || id == 0 {
		return false
	}
	if !ok {
		s.ended(now, "it does not answer")
		return true
	}
	s.up, s.beatAt, s.askAt = true, now+beatEvery, now
	if s.p.setup.SASP {
		s.register()
		return true
	}
	s.ask(now)
	return true
}

func (s *follower) closed(now float64, id env.Conn) {
	if id == s.conn && id != 0 {
		s.ended(now, "the connection broke")
	}
}

// tick dials, asks, and notices a coordinator that answers nothing: the connection to one that is paused stands.
func (s *follower) tick(now float64) {
	switch n := len(s.p.setup.Coordinators); {
	case n == 0:
	case s.conn == 0:
		if now >= s.dialAt {
			s.dial(now)
		}
	case !s.up:
	case !s.p.setup.SASP:
		if s.waiting && now-s.asked > s.wait()+2*beatEvery {
			s.lose(now, "it is silent")
		} else if !s.waiting && now >= s.askAt {
			s.ask(now)
		}
	case now >= s.beatAt:
		s.beatAt = now + beatEvery
		if s.waiting && now-s.asked > beatEvery/2 && n > 1 {
			s.lose(now, "it is silent")
			return
		}
		s.say(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(s.p.setup.UID), Flags: saspFlags})
		s.waiting, s.asked = true, now
	}
}

func (s *follower) wait() float64 {
	if len(s.p.setup.Coordinators) > 1 {
		return pollShort
	}
	return pollWait
}

// ask polls for what is newer than what is held.
func (s *follower) ask(now float64) {
	q := url.Values{"wait": {fmt.Sprint(s.wait())}}
	epoch, version, lead := s.p.Core.Tables.HeldVersion()
	if epoch != "" {
		q.Set("epoch", epoch)
		q.Set("version", strconv.FormatUint(version, 10))
	}
	if lead > 0 {
		q.Set("lead", strconv.FormatUint(lead, 10))
	}
	s.waiting, s.asked = true, now
	s.p.io.Send(s.conn, fmt.Appendf(nil, "GET /v1/proxies/%s/tables?%s HTTP/1.1\r\nHost: coordinator\r\nAccept: %s\r\n\r\n",
		url.PathEscape(s.p.setup.UID), q.Encode(), delta.CBOR))
}

func (s *follower) receive(now float64, id env.Conn, b []byte) {
	if id != s.conn || id == 0 {
		return
	}
	s.buf = append(s.buf, b...)
	if s.p.setup.SASP {
		s.messages(now)
		return
	}
	for s.conn == id {
		var m http1.Message
		n, err := http1.ParseResponse(s.buf, "GET", http1.Limits{Head: 16 << 10, Body: mostAnswer, Fields: 100}, &m)
		if err != nil {
			s.lose(now, err.Error())
			return
		}
		if n == 0 {
			return
		}
		s.waiting = false
		s.answer(now, &m)
		if s.conn == id {
			s.buf = append(s.buf[:0], s.buf[n:]...)
		}
	}
}

func (s *follower) answer(now float64, m *http1.Message) {
	switch m.Status {
	case http.StatusOK:
		var t delta.Tables
		if err := delta.Decode(m.Body, m.Get("Content-Type"), &t); err != nil {
			s.p.setup.Log("tables not understood", "error", err)
			s.lose(now, "its tables make no sense")
			return
		}
		orders, left, err := s.p.Core.Tables.Apply(now, &t)
		switch {
		case errors.Is(err, tablecache.ErrUnknownBase):
			s.p.Core.Tables.ConnectionLost()
		case err != nil:
			s.p.setup.Log("tables refused", "error", err)
			s.lose(now, err.Error())
			return
		default:
			s.p.Core.ApplyOrders(now, orders)
			lines := 0
			for _, c := range t.Classes {
				lines += len(c.Entries)
			}
			s.join(now)
			s.p.changed(now, lines, left)
		}
	case http.StatusNoContent:
		s.p.Core.Tables.MarkCurrent(now)
		s.join(now)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.leave(now)
		after, err := strconv.ParseFloat(m.Get("Retry-After"), 64)
		if err != nil || !(after >= 0) || after > pollWait {
			after = redial
		}
		s.askAt = now + after
		return
	default: // another one leads it, or it may not join
		s.lose(now, fmt.Sprint("it answers ", m.Status))
		return
	}
	s.ask(now)
}

const saspFlags = sasp.Push | sasp.Trust | sasp.NoChange

func (s *follower) say(m *sasp.Message) {
	s.id++
	m.ID = s.id
	s.p.io.Send(s.conn, sasp.Append(nil, m))
}

// register says who it is, and that all it holds are its members.
func (s *follower) register() {
	s.say(&sasp.Message{Kind: sasp.SetBalancer, UID: []byte(s.p.setup.UID), Flags: saspFlags})
	m := &sasp.Message{Kind: sasp.Registration, LB: sasp.FromBalancer}
	for c, name := range s.p.setup.Forwarding.ClassNames {
		g := sasp.Group{UID: []byte(s.p.setup.UID), Name: []byte(name), From: len(m.Rows)}
		for _, l := range s.p.Core.Tables.Table(balancer.Class(c)).Entries() {
			if a, err := netip.ParseAddrPort(string(l.Server)); err == nil {
				m.Rows = append(m.Rows, sasp.Row{Address: sasp.AddressOf(a)})
			}
		}
		g.To = len(m.Rows)
		m.Groups = append(m.Groups, g)
	}
	s.say(m)
}

// messages takes what a manager says.
func (s *follower) messages(now float64) {
	for id := s.conn; s.conn == id; {
		n, err := sasp.Frame(s.buf, sasp.MaxMessageBytes)
		if err == nil && n > 0 {
			err = sasp.Decode(s.buf[:n], &s.in)
		}
		if err != nil {
			s.lose(now, err.Error())
			return
		}
		if n == 0 {
			return
		}
		s.message(now, &s.in)
		if s.conn == id {
			s.buf = append(s.buf[:0], s.buf[n:]...)
		}
	}
}

func (s *follower) message(now float64, m *sasp.Message) {
	switch m.Kind {
	case sasp.SetBalancerReply:
		if s.waiting = false; s.joined {
			s.p.Core.Tables.MarkCurrent(now)
		}
	case sasp.RegistrationReply:
		if m.Code != sasp.OK {
			s.lose(now, m.Code.String())
			return
		}
		s.join(now)
	case sasp.SendWeights:
		// Rows that bring queries come before those that take them away, so that no state on the way lacks a line.
		var left []balancer.Server
		for _, g := range m.Groups {
			l, err := s.p.Core.Tables.ApplyRows(now, string(g.Name), m.Rows[g.From:g.To], saspsession.ServerID)
			if err != nil || string(g.UID) != s.p.setup.UID {
				s.p.setup.Log("weights refused", "group", string(g.Name), "of", string(g.UID), "error", err)
				continue
			}
			left = append(left, l...)
		}
		s.p.changed(now, len(m.Rows), left)
	}
}
