// Package settings reads the XML settings files of coordinators, hosts, tenants, proxies, scenarios and
// experiments. A file is accepted as a whole or rejected as a whole: it is validated against the schema
// first, then the rules that the schema cannot express are checked. Every error names its line and
// element, and all errors of a file are reported together.
package settings

import (
	"errors"
	"net/netip"
	"sync"

	"snowquay/balancer"
)

// loadSchema reads the embedded schema once.
var loadSchema = sync.OnceValues(func() (*schema, error) { return readSchema(Schema) })

// readDocument validates the text of a file whose root element must be the given one, and converts it.
// The name is for error messages.
func readDocument[T any](name string, text []byte, element string, convert func(*node) (T, error)) (T, error) {
	root, err := load(text, element)
	if err != nil {
		var none T
		return none, withFileName(err, name)
	}
	value, err := convert(root)
	return value, withFileName(err, name)
}

// load parses a text and validates it against the schema.
func load(text []byte, element string) (*node, error) {
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

// withFileName sets the file name of each settings error in err.
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

// decoder converts validated elements and collects violations of the rules that the schema cannot express.
type decoder struct {
	errs  []error
	zones map[string]balancer.Zone // by name
}

func newDecoder() *decoder {
	return &decoder{zones: map[string]balancer.Zone{}}
}

// fail records an error at an element.
func (d *decoder) fail(n *node, format string, args ...any) {
	d.errs = append(d.errs, n.errorf(format, args...))
}

// err returns all recorded errors, or nil.
func (d *decoder) err() error {
	return errors.Join(d.errs...)
}

// endpoint reads an address with a port. A missing attribute gives an invalid address.
func (d *decoder) endpoint(n *node, name string) netip.AddrPort {
	value := n.attrs[name]
	if value == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		d.fail(n, "%s: %v", name, err)
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// zone looks up the zone that an attribute names.
func (d *decoder) zone(n *node, name string) balancer.Zone {
	zone, ok := d.zones[n.attrs[name]]
	if !ok {
		d.fail(n, "%s: no zone is named %q", name, n.attrs[name])
	}
	return zone
}

// readZones reads the zone elements and returns the names of the zones by their number.
func (d *decoder) readZones(root *node) []string {
	var names []string
	for i, n := range root.all("zone") {
		name := n.attrs["name"]
		if _, duplicate := d.zones[name]; duplicate {
			d.fail(n, "there are two zones named %q", name)
		}
		d.zones[name] = balancer.Zone(i)
		names = append(names, name)
	}
	return names
}

// nameOf returns the name that stands for a value in the settings.
func nameOf[V comparable](names map[string]V, value V) string {
	for name, candidate := range names {
		if candidate == value {
			return name
		}
	}
	return "?"
}
