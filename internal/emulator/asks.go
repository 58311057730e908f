package emulator

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"

	"snowquay/balancer"
	"snowquay/internal/wire/delta"
)

const (
	askWait    = 20.0 // seconds that a poll waits
	askShort   = 1.0  // likewise, where there are other coordinators: one that is paused is noticed by it
	askBetween = 2.5  // seconds without a poll, after which a coordinator holds the relay for gone
	headEnd    = "\r\n\r\n"
)

// asker is the state of a relay that speaks the long-poll API.
type asker struct {
	buf     []byte
	epoch   string
	version uint64
	out     bool // a poll is out
	polls   int
	since   float64 // when the poll went out
	lead    uint64  // newest epoch of who leads what that it has followed
}

// ask sends a poll.
func (r *Relay) ask(now float64) {
	wait := askWait
	if len(r.Others) > 0 {
		wait = askShort
	}
	r.asks.since = now
	q := url.Values{"wait": {fmt.Sprint(wait)}}
	if r.asks.epoch != "" {
		q.Set("epoch", r.asks.epoch)
		q.Set("version", strconv.FormatUint(r.asks.version, 10))
	}
	if r.asks.lead > 0 {
		q.Set("lead", strconv.FormatUint(r.asks.lead, 10))
	}
	r.asks.out = true
	r.asks.polls++
	r.io.Send(r.sasp, fmt.Appendf(nil, "GET /v1/proxies/%s/tables?%s HTTP/1.1\r\nHost: coordinator\r\nAccept: %s\r\n\r\n",
		url.PathEscape(r.UID), q.Encode(), delta.CBOR))
}

// answers takes bytes of the coordinator's responses.
func (r *Relay) answers(now float64, b []byte) {
	r.asks.buf = append(r.asks.buf, b...)
	for {
		end := bytes.Index(r.asks.buf, []byte(headEnd))
		if end < 0 {
			return
		}
		head, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(r.asks.buf[:end+len(headEnd)])), nil)
		if err != nil {
			r.ref.complain(now, "relay %s can't follow: %v", r.UID, err)
			return
		}
		whole := end + len(headEnd) + max(int(head.ContentLength), 0)
		if len(r.asks.buf) < whole {
			return
		}
		body := r.asks.buf[end+len(headEnd) : whole]
		r.answer(now, head, body)
		r.asks.buf = append(r.asks.buf[:0], r.asks.buf[whole:]...)
		_, _ = io.Copy(io.Discard, head.Body)
	}
}

func (r *Relay) answer(now float64, head *http.Response, body []byte) {
	r.asks.out = false
	asked := r.asks.polls
	r.io.SetTimer(now+askBetween, relayBetween+asked)
	switch head.StatusCode {
	case http.StatusOK:
		var t delta.Tables
		if err := delta.Decode(body, head.Header.Get("Content-Type"), &t); err != nil {
			r.ref.complain(now, "relay %s: %v", r.UID, err)
			return
		}
		lines := 0
		if t.Stale(r.asks.lead) { // its coordinator was paused, and another one has led since
			c := r.sasp
			r.io.Close(c)
			r.Closed(now, c)
			return
		}
		r.asks.lead = t.OwnershipEpoch
		if !t.AppliesTo(r.asks.epoch, r.asks.version) {
			r.ref.complain(now, "relay %s was sent a delta to version %d, it holds %d", r.UID, t.Base, r.asks.version)
			r.asks.epoch = ""
			break
		}
		for _, c := range t.Classes {
			lines += len(c.Entries)
			r.change(now, c)
		}
		r.ref.message(now, r.UID, lines)
		r.ref.weigh(len(body), r.whole(t))
		r.asks.epoch, r.asks.version = t.Epoch, t.Version
	case http.StatusNoContent:
	default:
		r.joined = false
		r.ref.left(now, r.UID)
		if head.StatusCode == http.StatusMisdirectedRequest || head.StatusCode == http.StatusConflict && len(r.Others) > 0 {
			c := r.sasp
			r.io.Close(c)
			r.Closed(now, c)
			return
		}
		after, err := strconv.ParseFloat(head.Header.Get("Retry-After"), 64)
		if err != nil {
			after = relayRedial
		}
		r.io.SetTimer(now+after, relayAsk)
		return
	}
	r.ask(now)
	r.join(now)
}

// whole is how many bytes the same answer would have with whole tables.
func (r *Relay) whole(t delta.Tables) int {
	t.Classes = nil
	for k, c := range r.Classes {
		d := delta.Class{Class: c.Name, Full: true}
		for _, l := range r.tables[k].lines {
			if l.weight > 0 {
				d.Entries = append(d.Entries, delta.Entry{Server: l.server.String(), Weight: l.weight})
			}
		}
		t.Classes = append(t.Classes, d)
	}
	b, err := delta.Append(nil, delta.CBOR, &t)
	if err != nil {
		return 0
	}
	return len(b)
}

func (r *Relay) join(now float64) {
	if !r.joined {
		r.joined = true
		r.ref.joined(now, r.UID)
		r.tell(now)
	}
}

// change applies what an answer says of a class, whole.
func (r *Relay) change(now float64, c delta.Class) {
	k := slices.IndexFunc(r.Classes, func(x Class) bool { return x.Name == c.Class })
	if k < 0 {
		r.ref.complain(now, "relay %s was told of class %q", r.UID, c.Class)
		return
	}
	named := map[netip.AddrPort]bool{}
	for _, l := range c.Entries {
		a, err := netip.ParseAddrPort(l.Server)
		if err != nil {
			r.ref.complain(now, "relay %s was told of server %q", r.UID, l.Server)
			continue
		}
		named[a] = true
		r.set(r.tables[k], a, l.Weight)
	}
	for _, l := range r.tables[k].lines {
		if c.Full && !named[l.server] {
			l.weight = 0
		}
	}
	if c.Admission != nil {
		r.levels[k] = *c.Admission
	}
	if way := slices.Index([]string{"none", "proof", "failure", "twice"}, c.Retry); way >= 0 {
		r.again[k] = balancer.RetryPolicy(way)
	}
	r.tell(now)
}
