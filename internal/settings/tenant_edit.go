package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// maskedKey replaces a key in settings that are shown.
const maskedKey = "(unchanged)"

// MaskKeys returns a tenant's settings with each key replaced, so that they can be shown to every caller
// who may read them. MergeKeys restores the keys.
func MaskKeys(text []byte) ([]byte, error) {
	return rewriteTenant(text, func(root *node) error {
		for _, n := range root.secrets() {
			n.attrs["key"] = maskedKey
		}
		return nil
	})
}

// MergeKeys returns a tenant's new settings with the keys of its previous ones wherever they are masked.
// It returns an *Error for a masked key that the previous settings do not have.
func MergeKeys(text, previous []byte) ([]byte, error) {
	if !bytes.Contains(text, []byte(maskedKey)) {
		return text, nil
	}
	keys := map[string]string{}
	if root, err := parse(previous); err == nil {
		for _, n := range root.secrets() {
			keys[n.secretID()] = n.attrs["key"]
		}
	}
	return rewriteTenant(text, func(root *node) error {
		for _, n := range root.secrets() {
			if n.attrs["key"] != maskedKey {
				continue
			}
			key, ok := keys[n.secretID()]
			if !ok {
				return n.errorf("key: there is none to be left unchanged")
			}
			n.attrs["key"] = key
		}
		return nil
	})
}

// secrets returns the children that have keys.
func (n *node) secrets() []*node {
	var found []*node
	for _, child := range n.children {
		if child.name == "caller" || child.name == "reports" && child.attrs["key"] != "" {
			found = append(found, child)
		}
	}
	return found
}

// secretID identifies an element with a key in its file.
func (n *node) secretID() string { return n.name + "/" + n.attrs["name"] }

// rewriteTenant changes a tenant's settings.
func rewriteTenant(text []byte, change func(*node) error) ([]byte, error) {
	root, err := load(text, "tenant")
	if err != nil {
		return nil, err
	}
	if err := change(root); err != nil {
		return nil, err
	}
	return root.encode()
}

// ServerEdit is a change of one server in a tenant's settings. Fields without a value leave the settings
// as they are.
type ServerEdit struct {
	Server        string  `json:"server"`
	Remove        bool    `json:"remove,omitempty"`
	Zone          string  `json:"zone,omitempty"`
	FailureDomain *int    `json:"pod,omitempty"`
	Kind          *int    `json:"kind,omitempty"`
	Weight        float64 `json:"weight,omitempty"`
	Capacity      float64 `json:"capacity,omitempty"` // requests per second
	Static        *bool   `json:"standing,omitempty"`
}

// ErrInvalidEdit is returned for an edit that cannot be applied to the settings.
var ErrInvalidEdit = errors.New("the edit makes no sense")

// Apply returns a tenant's settings with one server added, changed or removed. The result is not
// validated; ParseTenant does that. It returns an error that wraps ErrInvalidEdit for a server that is not
// listed and cannot be added.
func (e ServerEdit) Apply(text []byte) ([]byte, error) {
	address, err := netip.ParseAddrPort(e.Server)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidEdit, err)
	}
	return rewriteTenant(text, func(root *node) error { return e.applyTo(root.one("servers"), address) })
}

func (e ServerEdit) applyTo(servers *node, address netip.AddrPort) error {
	index := lastServer(servers, address)
	if e.Remove {
		if index < 0 {
			return fmt.Errorf("%w: %s is not listed", ErrInvalidEdit, address)
		}
		servers.children = slices.Delete(servers.children, index, index+1)
		return nil
	}
	if index >= 0 {
		e.setAttributes(servers.children[index])
		return nil
	}
	if e.Zone == "" {
		return fmt.Errorf("%w: %s is not listed, and a new server needs a zone", ErrInvalidEdit, address)
	}
	server := &node{name: "server", attrs: map[string]string{"address": address.String()}}
	e.setAttributes(server)
	servers.children = append(servers.children, server)
	return nil
}

// lastServer returns the index of the last element with an address, or -1.
func lastServer(servers *node, address netip.AddrPort) int {
	for i, n := range slices.Backward(servers.children) {
		listed, err := netip.ParseAddrPort(n.attrs["address"])
		if err == nil && listed == address {
			return i
		}
	}
	return -1
}

func (e ServerEdit) setAttributes(server *node) {
	if e.FailureDomain != nil {
		server.attrs["pod"] = fmt.Sprint(*e.FailureDomain)
	}
	if e.Kind != nil {
		server.attrs["kind"] = fmt.Sprint(*e.Kind)
	}
	if e.Static != nil {
		server.attrs["standing"] = fmt.Sprint(*e.Static)
	}
	if e.Zone != "" {
		server.attrs["zone"] = e.Zone
	}
	if e.Weight > 0 {
		server.attrs["weight"] = formatNumber(e.Weight)
	}
	if e.Capacity > 0 {
		server.attrs["capacity"] = formatNumber(e.Capacity)
	}
}
