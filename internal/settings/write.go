package settings

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"snowquay/balancer"
	"snowquay/internal/core/membership"
)

// GroupMember of a group, for settings that a rehearsal writes.
type GroupMember struct {
	Number                   membership.MemberID
	SASP, HTTP, Measurements netip.AddrPort // HTTP not valid: it is not spoken
	Metrics                  netip.AddrPort // likewise
	Store, GroupStore, Key   string
	Peers                    map[membership.MemberID]netip.AddrPort
}

// Settings are those of one coordinator of a group on a day, as a file for serve.
func (d *Scenario) Settings(m GroupMember) ([]byte, error) {
	root := *d.coordinator
	root.kids = nil
	for _, k := range d.coordinator.kids {
		if k.name == "group" {
			continue
		}
		if root.kids = append(root.kids, k); k.name != "listen" {
			continue
		}
		l := *k
		l.attrs = map[string]string{"measurements": m.Measurements.String(), "store": m.Store}
		for name, a := range map[string]netip.AddrPort{"sasp": m.SASP, "http": m.HTTP, "metrics": m.Metrics} {
			if a.IsValid() {
				l.attrs[name] = a.String()
			}
		}
		g := &node{name: "group", attrs: map[string]string{"number": fmt.Sprint(m.Number), "key": m.Key, "store": m.GroupStore}}
		for _, n := range slices.Sorted(maps.Keys(m.Peers)) {
			g.kids = append(g.kids, &node{name: "peer", attrs: map[string]string{"number": fmt.Sprint(n), "address": m.Peers[n].String()}})
		}
		root.kids[len(root.kids)-1] = &l
		root.kids = append(root.kids, g)
	}
	var b bytes.Buffer
	b.WriteString(xml.Header)
	if err := root.write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Write is the day as a file: what was read, with the fleet, the troubles and the figures that the day has now.
func (d *Scenario) Write() ([]byte, error) {
	c := *d.coordinator
	c.kids = nil
	site := &d.Coordinator.Site
	num := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	for _, k := range d.coordinator.kids {
		x := *k
		x.attrs = maps.Clone(k.attrs)
		switch k.name {
		case "servers":
			x.kids = nil
			for _, s := range site.Servers {
				x.kids = append(x.kids, &node{name: "server", attrs: map[string]string{"address": string(s.Server), "zone": site.Zones[s.Zone],
					"pod": fmt.Sprint(s.FailureDomain), "kind": fmt.Sprint(s.Kind), "weight": num(s.Weight), "standing": fmt.Sprint(s.Static)}})
			}
		case "relays":
			x.kids = nil
			for _, r := range site.Proxies {
				x.kids = append(x.kids, &node{name: "relay", attrs: map[string]string{"uid": r.UID, "zone": site.Zones[r.Zone], "usual": num(r.ExpectedRate)}})
			}
		case "fleet":
			x.attrs["relays"], x.attrs["levels"] = fmt.Sprint(site.DataPlane.Proxies), nameOf(levelKinds, site.DataPlane.Admission)
			if site.DataPlane.Admission == balancer.AdmissionIgnored {
				x.attrs["levels"] = "ignored"
			}
		case "channel":
			x.attrs["lines-per-second"], x.attrs["most-waiting"] = num(site.Channel.EntriesPerSecond), num(site.Channel.MaxQueued)
		case "reports":
			x.attrs["period"] = num(site.Reporting.Period)
		}
		c.kids = append(c.kids, &x)
	}
	root := &node{name: "day", attrs: map[string]string{"seconds": num(d.Seconds), "seed": fmt.Sprint(d.Seed)}, kids: []*node{&c,
		{name: "servers", attrs: map[string]string{"cores": fmt.Sprint(d.Cores), "queue": fmt.Sprint(d.Queue), "slowest": num(d.Slowest),
			"fastest": num(d.Fastest), "connections": fmt.Sprint(d.Model.Connections), "connection-work": num(d.Model.ConnWork),
			"key-for": num(d.Model.KeyFor), "key-less": num(d.Model.KeyLess), "key-most": fmt.Sprint(d.Model.KeyMost), "stops": fmt.Sprint(d.Model.Stops)}}}}
	q := &node{name: "queries", attrs: map[string]string{"rate": num(d.Rate), "keys": fmt.Sprint(d.Keys), "spread": num(d.Spread),
		"popularity": num(d.Clients.Popularity), "again": fmt.Sprint(d.Clients.Retries), "wait": num(d.Clients.RetryWait), "patience": num(d.Clients.Patience)}}
	for _, x := range d.Queries {
		q.kids = append(q.kids, &node{name: "query", attrs: map[string]string{"class": x.Class, "share": num(x.Share), "work": num(x.Work)}})
	}
	root.kids = append(root.kids, q, &node{name: "net", attrs: map[string]string{"split": num(d.Split), "loss": num(d.Loss), "double": num(d.Double),
		"late": num(d.Late)}})
	for _, t := range d.Faults {
		x := &node{name: "trouble", attrs: map[string]string{"kind": t.Kind, "at": num(t.At), "for": num(t.For), "factor": num(t.Factor)}}
		for name, v := range map[string]int{"server": t.Server, "relay": t.Relay, "pod": t.FailureDomain} {
			if v >= 0 {
				x.attrs[name] = fmt.Sprint(v)
			}
		}
		if t.Zone >= 0 {
			x.attrs["zone"] = site.Zones[t.Zone]
		}
		root.kids = append(root.kids, x)
	}
	var b bytes.Buffer
	b.WriteString(xml.Header)
	if err := root.write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (n *node) write(b *bytes.Buffer) error {
	fmt.Fprintf(b, "<%s", n.name)
	for _, a := range slices.Sorted(maps.Keys(n.attrs)) {
		fmt.Fprintf(b, ` %s="`, a)
		if err := xml.EscapeText(b, []byte(n.attrs[a])); err != nil {
			return err
		}
		b.WriteByte('"')
	}
	b.WriteString(">\n")
	for _, k := range n.kids {
		if err := k.write(b); err != nil {
			return err
		}
	}
	fmt.Fprintf(b, "</%s>\n", n.name)
	return nil
}
