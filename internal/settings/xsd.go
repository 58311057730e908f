package settings

import (
	"bytes"
	"cmp"
	_ "embed"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Schema is the schema of all files, as XML Schema 1.0.
//
//go:embed schema/snowquay.xsd
var Schema []byte

const (
	mostBytes = 16 << 20 // of a file: 5,000 relays and 1,000 servers take one
	mostDepth = 16       // of elements in elements
)

// Error names the line and the element at fault.
type Error struct {
	File    string
	Line    int
	Element string
	Problem string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: <%s>: %s", cmp.Or(e.File, "settings"), e.Line, e.Element, e.Problem)
}

// node is an element of a file, with its place.
type node struct {
	name  string
	line  int
	attrs map[string]string
	kids  []*node
	text  string
}

func (n *node) wrong(format string, args ...any) *Error {
	return &Error{Line: n.line, Element: n.name, Problem: fmt.Sprintf(format, args...)}
}

func (n *node) all(name string) (found []*node) {
	for _, k := range n.kids {
		if k.name == name {
			found = append(found, k)
		}
	}
	return found
}

func (n *node) one(name string) *node {
	if found := n.all(name); len(found) > 0 {
		return found[0]
	}
	return nil
}

// parse reads a file into nodes; its errors have a line.
func parse(text []byte) (*node, error) {
	if len(text) > mostBytes {
		return nil, &Error{Line: 1, Element: "?", Problem: fmt.Sprintf("the file has over %d bytes", mostBytes)}
	}
	d := xml.NewDecoder(bytes.NewReader(text))
	var root *node
	var path []*node
	for {
		line, _ := d.InputPos() // where the token starts
		tok, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			e := &Error{Line: line, Element: "?", Problem: err.Error()}
			if len(path) > 0 {
				e.Element = path[len(path)-1].name
			}
			return nil, e
		}
		switch t := tok.(type) {
		case xml.StartElement:
			n := &node{name: t.Name.Local, line: line, attrs: map[string]string{}}
			for _, a := range t.Attr {
				if _, twice := n.attrs[a.Name.Local]; twice {
					return nil, n.wrong("attribute %s is there twice", a.Name.Local)
				}
				n.attrs[a.Name.Local] = a.Value
			}
			if len(path) >= mostDepth {
				return nil, n.wrong("elements in more than %d others", mostDepth)
			}
			if len(path) > 0 {
				up := path[len(path)-1]
				up.kids = append(up.kids, n)
			} else if root == nil {
				root = n
			}
			path = append(path, n)
		case xml.EndElement:
			path = path[:len(path)-1]
		case xml.CharData:
			if len(path) > 0 {
				path[len(path)-1].text += strings.TrimSpace(string(t))
			}
		case xml.Directive:
			return nil, &Error{Line: line, Element: "?", Problem: "document types are not read"}
		}
	}
	if root == nil {
		return nil, &Error{Line: 1, Element: "?", Problem: "there is no element"}
	}
	return root, nil
}

// schema is the part of XML Schema that our schema uses: named complex types with a sequence of elements and with
// attributes, named simple types with a restriction.
type schema struct {
	roots   map[string]string // element: type
	complex map[string]*node
	simple  map[string]*node
}

func readSchema(text []byte) (*schema, error) {
	root, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("the schema: %w", err)
	}
	s := &schema{roots: map[string]string{}, complex: map[string]*node{}, simple: map[string]*node{}}
	for _, k := range root.kids {
		switch k.name {
		case "element":
			s.roots[k.attrs["name"]] = k.attrs["type"]
		case "complexType":
			s.complex[k.attrs["name"]] = k
		case "simpleType":
			s.simple[k.attrs["name"]] = k
		default:
			return nil, fmt.Errorf("the schema: line %d: %s is not supported", k.line, k.name)
		}
	}
	return s, nil
}

// validate holds a file against the schema and fills in the defaults. All that is wrong is told at once.
func (s *schema) validate(n *node, root string) error {
	if n.name != root {
		return n.wrong("the file's element must be <%s>", root)
	}
	var errs []error
	s.element(n, s.roots[root], &errs)
	return errors.Join(errs...)
}

func (s *schema) element(n *node, kind string, errs *[]error) {
	t := s.complex[kind]
	wrong := func(at *node, format string, args ...any) { *errs = append(*errs, at.wrong(format, args...)) }
	if n.text != "" {
		wrong(n, "text %.40q does not belong here", n.text)
	}
	known := map[string]bool{"xmlns": true, "schemaLocation": true, "noNamespaceSchemaLocation": true, "xsi": true}
	for _, a := range t.all("attribute") {
		name := a.attrs["name"]
		known[name] = true
		v, ok := n.attrs[name]
		if !ok {
			if def, has := a.attrs["default"]; has {
				n.attrs[name] = def
			} else if a.attrs["use"] == "required" {
				wrong(n, "attribute %s is missing", name)
			}
			continue
		}
		if err := s.value(v, a.attrs["type"]); err != nil {
			wrong(n, "%s=%.60q: %v", name, v, err)
		}
	}
	var names []string
	for name := range n.attrs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !known[name] {
			wrong(n, "unknown attribute %s", name)
		}
	}
	var places []*node
	if seq := t.one("sequence"); seq != nil {
		places = seq.all("element")
	}
	at := 0
	for _, p := range places {
		least, most := bounds(p)
		count := 0
		for at < len(n.kids) && n.kids[at].name == p.attrs["name"] {
			if count++; count == most+1 {
				wrong(n.kids[at], "there are more than %d of it", most)
			}
			s.element(n.kids[at], p.attrs["type"], errs)
			at++
		}
		if count < least && at < len(n.kids) {
			wrong(n.kids[at], "does not belong here; <%s> does", p.attrs["name"])
			return
		} else if count < least {
			wrong(n, "element <%s> is missing", p.attrs["name"])
		}
	}
	if at < len(n.kids) {
		wrong(n.kids[at], "does not belong here")
	}
}

func bounds(p *node) (least, most int) {
	least, most = 1, 1
	if v, ok := p.attrs["minOccurs"]; ok {
		least, _ = strconv.Atoi(v)
	}
	if v := p.attrs["maxOccurs"]; v == "unbounded" {
		most = mostBytes
	} else if v != "" {
		most, _ = strconv.Atoi(v)
	}
	return least, most
}

var (
	decimal = regexp.MustCompile(`^[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)
	integer = regexp.MustCompile(`^[+-]?[0-9]+$`)
)

func (s *schema) value(v, kind string) error {
	switch kind {
	case "xs:string":
		return nil
	case "xs:boolean":
		if v != "true" && v != "false" && v != "0" && v != "1" {
			return errors.New("neither true nor false")
		}
		return nil
	case "xs:decimal":
		if !decimal.MatchString(v) || len(v) > 40 {
			return errors.New("no number")
		}
		return nil
	case "xs:integer":
		if !integer.MatchString(v) || len(v) > 40 {
			return errors.New("no whole number")
		}
		return nil
	}
	r := s.simple[kind].one("restriction")
	if err := s.value(v, r.attrs["base"]); err != nil {
		return err
	}
	var allowed []string
	for _, f := range r.kids {
		limit := f.attrs["value"]
		switch f.name {
		case "enumeration":
			allowed = append(allowed, limit)
		case "minInclusive", "maxInclusive", "minExclusive", "maxExclusive":
			x, okX := new(big.Rat).SetString(v)
			y, okY := new(big.Rat).SetString(limit)
			if !okX || !okY {
				return errors.New("no number")
			}
			switch c := x.Cmp(y); {
			case f.name == "minInclusive" && c < 0:
				return fmt.Errorf("under %s", limit)
			case f.name == "maxInclusive" && c > 0:
				return fmt.Errorf("over %s", limit)
			case f.name == "minExclusive" && c <= 0:
				return fmt.Errorf("not over %s", limit)
			case f.name == "maxExclusive" && c >= 0:
				return fmt.Errorf("not under %s", limit)
			}
		case "minLength", "maxLength":
			n, _ := strconv.Atoi(limit)
			if f.name == "minLength" && len(v) < n || f.name == "maxLength" && len(v) > n {
				return fmt.Errorf("%d bytes long", len(v))
			}
		case "pattern":
			if ok, err := regexp.MatchString("^(?:"+limit+")$", v); err != nil || !ok {
				return errors.New("not in the right form")
			}
		}
	}
	if allowed != nil && !slices.Contains(allowed, v) {
		return fmt.Errorf("none of %s", strings.Join(allowed, ", "))
	}
	return nil
}
