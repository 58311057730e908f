package settings

import (
	"bytes"
	"cmp"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxFileBytes is enough for 5,000 proxies and 1,000 servers.
	maxFileBytes = 16 << 20
	// maxDepth is the maximum number of nested elements.
	maxDepth = 16
	// unknownElement stands for the element in errors outside all elements.
	unknownElement = "?"
)

// Error is a problem in a settings file, with its line and element.
type Error struct {
	File    string
	Line    int
	Element string
	Problem string
}

// Error returns the file, line, element and problem.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: <%s>: %s", cmp.Or(e.File, "settings"), e.Line, e.Element, e.Problem)
}

// node is an element of a file, with the line where it starts.
type node struct {
	name     string
	line     int
	attrs    map[string]string
	children []*node
	text     string
}

// errorf returns an error at the element.
func (n *node) errorf(format string, args ...any) *Error {
	return &Error{Line: n.line, Element: n.name, Problem: fmt.Sprintf(format, args...)}
}

// all returns the children with a name.
func (n *node) all(name string) []*node {
	var found []*node
	for _, child := range n.children {
		if child.name == name {
			found = append(found, child)
		}
	}
	return found
}

// one returns the first child with a name, or nil.
func (n *node) one(name string) *node {
	found := n.all(name)
	if len(found) == 0 {
		return nil
	}
	return found[0]
}

// number returns an attribute that the schema has validated as a number, and 0 if it is missing.
func (n *node) number(name string) float64 {
	value, _ := strconv.ParseFloat(cmp.Or(n.attrs[name], "0"), 64)
	return value
}

// int returns an attribute that the schema has validated as an integer, and 0 if it is missing.
func (n *node) int(name string) int { return int(n.number(name)) }

func (n *node) bool(name string) bool { return n.attrs[name] == "true" || n.attrs[name] == "1" }

// overrideInt sets a value from an attribute that is positive; otherwise the value keeps its default.
func (n *node) overrideInt(name string, value *int) {
	if configured := n.int(name); configured > 0 {
		*value = configured
	}
}

// overrideNumber sets a value from an attribute that is positive; otherwise the value keeps its default.
func (n *node) overrideNumber(name string, value *float64) {
	if configured := n.number(name); configured > 0 {
		*value = configured
	}
}

// parse reads a file into nodes and returns the root. Its errors are of type *Error.
func parse(text []byte) (*node, error) {
	if len(text) > maxFileBytes {
		return nil, &Error{Line: 1, Element: unknownElement, Problem: fmt.Sprintf("the file has over %d bytes", maxFileBytes)}
	}
	tokens := xml.NewDecoder(bytes.NewReader(text))
	var builder treeBuilder
	for {
		line, _ := tokens.InputPos() // where the token starts
		token, err := tokens.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, &Error{Line: line, Element: builder.currentElement(), Problem: err.Error()}
		}
		if err := builder.handle(token, line); err != nil {
			return nil, err
		}
	}
	if builder.root == nil {
		return nil, &Error{Line: 1, Element: unknownElement, Problem: "there is no element"}
	}
	return builder.root, nil
}

// treeBuilder builds the tree of nodes from XML tokens.
type treeBuilder struct {
	root *node
	open []*node // elements that are not closed yet, outermost first
}

func (p *treeBuilder) currentElement() string {
	if len(p.open) == 0 {
		return unknownElement
	}
	return p.open[len(p.open)-1].name
}

func (p *treeBuilder) handle(token xml.Token, line int) error {
	switch t := token.(type) {
	case xml.StartElement:
		return p.start(t, line)
	case xml.EndElement:
		p.open = p.open[:len(p.open)-1]
	case xml.CharData:
		if len(p.open) > 0 {
			p.open[len(p.open)-1].text += strings.TrimSpace(string(t))
		}
	case xml.Directive:
		return &Error{Line: line, Element: unknownElement, Problem: "document types are not read"}
	}
	return nil
}

func (p *treeBuilder) start(element xml.StartElement, line int) error {
	started := &node{name: element.Name.Local, line: line, attrs: map[string]string{}}
	for _, attr := range element.Attr {
		if _, duplicate := started.attrs[attr.Name.Local]; duplicate {
			return started.errorf("attribute %s is there twice", attr.Name.Local)
		}
		started.attrs[attr.Name.Local] = attr.Value
	}
	if len(p.open) >= maxDepth {
		return started.errorf("elements in more than %d others", maxDepth)
	}
	if len(p.open) > 0 {
		parent := p.open[len(p.open)-1]
		parent.children = append(parent.children, started)
	} else if p.root == nil {
		p.root = started
	}
	p.open = append(p.open, started)
	return nil
}

// encode returns the element as a file.
func (n *node) encode() ([]byte, error) {
	var b bytes.Buffer
	b.WriteString(xml.Header)
	if err := n.write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (n *node) write(b *bytes.Buffer) error {
	fmt.Fprintf(b, "<%s", n.name)
	for _, name := range slices.Sorted(maps.Keys(n.attrs)) {
		fmt.Fprintf(b, ` %s="`, name)
		if err := xml.EscapeText(b, []byte(n.attrs[name])); err != nil {
			return err
		}
		b.WriteByte('"')
	}
	b.WriteString(">\n")
	for _, child := range n.children {
		if err := child.write(b); err != nil {
			return err
		}
	}
	fmt.Fprintf(b, "</%s>\n", n.name)
	return nil
}
