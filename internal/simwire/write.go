package simwire

import (
	"encoding/json"
	"strconv"

	"snowquay/balancer"
)

// pen writes the orders of one instance as actions of the reply.
type pen struct {
	out      []byte
	instance int
	none     bool // no action yet in this reply
}

func (p *pen) begin(kind string) {
	if !p.none {
		p.out = append(p.out, ',')
	}
	p.none = false
	p.out = append(p.out, `{"type":"`...)
	p.out = append(p.out, kind...)
	p.out = append(p.out, '"')
	p.number("coordinator-id", p.instance)
}

func (p *pen) key(name string) {
	p.out = append(p.out, `,"`...)
	p.out = append(p.out, name...)
	p.out = append(p.out, `":`...)
}

func (p *pen) number(name string, v int) {
	p.key(name)
	p.out = strconv.AppendInt(p.out, int64(v), 10)
}

func (p *pen) figure(name string, v float64) {
	p.key(name)
	p.out = strconv.AppendFloat(p.out, v, 'f', -1, 64)
}

func (p *pen) text(name, v string) {
	p.key(name)
	quoted, _ := json.Marshal(v) // a string always has a JSON form
	p.out = append(p.out, quoted...)
}

func (p *pen) end() { p.out = append(p.out, '}') }

func (p *pen) SetWeight(t balancer.Table, s balancer.Server, weight float64) {
	p.begin("Weigh")
	p.figure("size", weight)
	p.text("backend", string(s))
	p.number("sheet", int(t))
	p.end()
}

func (p *pen) AssignTable(px balancer.Proxy, t balancer.Table, classes balancer.ClassSet) {
	p.begin("HandTable")
	p.number("px", int(px))
	p.number("sheet", int(t))
	p.number("for-classes", int(classes))
	p.end()
}

func (p *pen) SetAdmission(t balancer.Table, classes balancer.ClassSet, level float64, again balancer.RetryPolicy) {
	p.begin("Ration")
	p.number("sheet", int(t))
	p.number("for-classes", int(classes))
	p.figure("quota", level)
	p.number("on-failure", int(again))
	p.end()
}

func (p *pen) RequestAck(m balancer.AckID) {
	p.begin("Seal")
	p.number("number", int(m))
	p.key("flag")
	p.out = append(p.out, "false"...)
	p.end()
}

func (p *pen) HealthCheck(s balancer.Server) {
	p.begin("SoundOut")
	p.text("backend", string(s))
	p.end()
}

func (p *pen) PollDiscovery() {
	p.begin("Listen")
	p.key("flag")
	p.out = append(p.out, "true"...)
	p.end()
}

func (p *pen) SetTimer(after float64, t balancer.Timer) {
	p.begin("Defer")
	p.number("nonce", int(t))
	p.figure("sleep-for", after)
	p.end()
}

func (p *pen) Log(text string) {
	p.begin("Emit")
	p.text("note-text", text)
	p.end()
}
