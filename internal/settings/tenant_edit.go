package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// maskedKey replaces each key in settings that are shown to callers.
const maskedKey = "(unchanged)"

// MaskKeys returns a tenant's settings with each key replaced by a placeholder, so that they can be shown to
// every caller who may read them. MergeKeys restores the keys.
func MaskKeys(text []byte) ([]byte, error) {
	return rewriteTenant(text, func(root *node) error {
		for _, n := range root.elementsWithKey() {
			n.attrs["key"] = maskedKey
		}
		return nil
	})
}

// MergeKeys returns a tenant's new settings with each masked key replaced by the key of the same element in the
// previous settings. It returns an *Error if the previous settings do not have that key.
func MergeKeys(text, previous []byte) ([]byte, error) {
	if !bytes.Contains(text, []byte(maskedKey)) {
		return text, nil
	}
	keys := map[string]string{}
	if root, err := parse(previous); err == nil {
		for _, n := range root.elementsWithKey() {
			keys[n.keyID()] = n.attrs["key"]
		}
	}
	return rewriteTenant(text, func(root *node) error {
		for _, n := range root.elementsWithKey() {
			if n.attrs["key"] != maskedKey {
				continue
			}
			key, ok := keys[n.keyID()]
			if !ok {
				return n.errorf("key: the previous settings have no key for this element")
			}
			n.attrs["key"] = key
		}
		return nil
	})
}

// elementsWithKey returns the children that have a key: callers and signed load reports.
func (n *node) elementsWithKey() []*node {
	var found []*node
	for _, child := range n.children {
		if child.name == "caller" || child.name == "reports" && child.attrs["key"] != "" {
			found = append(found, child)
		}
	}
	return found
}

// keyID returns an identifier of an element with a key that is unique in its file.
func (n *node) keyID() string { return n.name + "/" + n.attrs["name"] }

// rewriteTenant validates a tenant's settings, applies a change to them and returns the result.
func rewriteTenant(text []byte, change func(*node) error) ([]byte, error) {
	root, err := parseAndValidate(text, "tenant")
	if err != nil {
		return nil, err
	}
	if err := change(root); err != nil {
		return nil, err
	}
	return root.encode()
}

// ServerEdit is a change of one server in a tenant's settings. Fields without a value leave the corresponding
// settings unchanged.
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
var ErrInvalidEdit = errors.New("invalid server edit")

// Apply returns a tenant's settings with one server added, changed or removed. The result is not validated, which
// is done by ParseTenant. The error wraps ErrInvalidEdit if the address is invalid or the server is not listed and
// cannot be added.
func (e ServerEdit) Apply(text []byte) ([]byte, error) {
	address, err := netip.ParseAddrPort(e.Server)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidEdit, err)
	}
	return rewriteTenant(text, func(root *node) error { return e.applyTo(root.firstChild("servers"), address) })
}

func (e ServerEdit) applyTo(servers *node, address netip.AddrPort) error {
	index := lastServerIndex(servers, address)
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

// lastServerIndex returns the index of the last server element with the address, or -1.
func lastServerIndex(servers *node, address netip.AddrPort) int {
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
