// Package settings reads the XML settings files of coordinators, hosts, tenants, proxies, scenarios and
// experiments. A file is accepted or rejected as a whole: it is first validated against the schema, then
// checked for the rules that the schema cannot express. Each error includes the line and the element. The
// errors of each of these two steps are reported together.
package settings

import (
	"errors"
	"net/netip"
	"sync"

	"snowquay/balancer"
)

// loadSchema parses the embedded schema once.
var loadSchema = sync.OnceValues(func() (*schema, error) { return readSchema(Schema) })

// readDocument validates the text of a file, whose root element must have the given name, and converts it.
// The name of the file is used in error messages.
func readDocument[T any](name string, text []byte, element string, convert func(*node) (T, error)) (T, error) {
	root, err := parseAndValidate(text, element)
	if err != nil {
		var none T
		return none, withFileName(err, name)
	}
	value, err := convert(root)
	return value, withFileName(err, name)
}

// parseAndValidate parses the text of a file and validates it against the schema.
func parseAndValidate(text []byte, element string) (*node, error) {
	s, err := loadSchema()
	if err != nil {
		return nil, err
	}
	root, err := parse(text)
	if err != nil {
		return nil, err
	}
	return root, s.validate(root, element)
}

// withFileName sets the file name of each *Error in err and returns err.
func withFileName(err error, name string) error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, part := range joined.Unwrap() {
			_ = withFileName(part, name)
		}
		return err
	}
	var settingsError *Error
	if errors.As(err, &settingsError) {
		settingsError.File = name
	}
	return err
}

// decoder converts validated elements and collects the violations of rules that the schema cannot express.
type decoder struct {
	errs  []error
	zones map[string]balancer.Zone // by name
}

func newDecoder() *decoder {
	return &decoder{zones: map[string]balancer.Zone{}}
}

// addError records an error with the line and name of an element.
func (d *decoder) addError(n *node, format string, args ...any) {
	d.errs = append(d.errs, n.errorf(format, args...))
}

// err returns all recorded errors, joined, or nil if there are none.
func (d *decoder) err() error {
	return errors.Join(d.errs...)
}

// endpoint reads an attribute with an IP address and a port. It returns an invalid address if the attribute is
// missing.
func (d *decoder) endpoint(n *node, name string) netip.AddrPort {
	value := n.attrs[name]
	if value == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		d.addError(n, "%s: %v", name, err)
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// zone returns the zone whose name is the value of an attribute.
func (d *decoder) zone(n *node, name string) balancer.Zone {
	zone, ok := d.zones[n.attrs[name]]
	if !ok {
		d.addError(n, "%s: no zone is named %q", name, n.attrs[name])
	}
	return zone
}

// readZones reads the zone elements and returns the names of the zones, indexed by zone.
func (d *decoder) readZones(root *node) []string {
	var names []string
	for i, n := range root.childrenNamed("zone") {
		name := n.attrs["name"]
		if _, duplicate := d.zones[name]; duplicate {
			d.addError(n, "there are two zones named %q", name)
		}
		d.zones[name] = balancer.Zone(i)
		names = append(names, name)
	}
	return names
}

// nameOf returns the name of a value in the settings, or "?" if it has none.
func nameOf[V comparable](names map[string]V, value V) string {
	for name, candidate := range names {
		if candidate == value {
			return name
		}
	}
	return "?"
}
