package settings

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"snowquay/internal/core/share"
)

// Member of a group, for settings that a rehearsal writes.
type Member struct {
	Number                   share.Number
	SASP, HTTP, Measurements netip.AddrPort // HTTP not valid: it is not spoken
	Metrics                  netip.AddrPort // likewise
	Store, GroupStore, Key   string
	Peers                    map[share.Number]netip.AddrPort
}

// Settings are those of one coordinator of a group on a day, as a file for serve.
func (d *Day) Settings(m Member) ([]byte, error) {
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
