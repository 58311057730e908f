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
	// maxFileBytes is the maximum size of a file, which is enough for 5,000 proxies and 1,000 servers.
	maxFileBytes = 16 << 20
	// maxDepth is the maximum nesting depth of elements.
	maxDepth = 16
	// unknownElement is the element name in errors that occur outside all elements.
	unknownElement = "?"
)

// Error is a problem in a settings file, with its line and element.
type Error struct {
	File    string
	Line    int
	Element string
	Problem string
}

// Error returns the message "file:line: <element>: problem".
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

// errorf returns an error with the line and name of the element.
func (n *node) errorf(format string, args ...any) *Error {
	return &Error{Line: n.line, Element: n.name, Problem: fmt.Sprintf(format, args...)}
}

// childrenNamed returns the children with the given name.
func (n *node) childrenNamed(name string) []*node {
	var found []*node
	for _, child := range n.children {
		if child.name == name {
			found = append(found, child)
		}
	}
	return found
}

// firstChild returns the first child with the given name, or nil.
func (n *node) firstChild(name string) *node {
	found := n.childrenNamed(name)
	if len(found) == 0 {
		return nil
	}
	return found[0]
}

// number returns the value of an attribute that was validated as a number, or 0 if it is missing.
func (n *node) number(name string) float64 {
	value, _ := strconv.ParseFloat(cmp.Or(n.attrs[name], "0"), 64)
	return value
}

// int returns the value of an attribute that was validated as an integer, or 0 if it is missing.
func (n *node) int(name string) int { return int(n.number(name)) }

func (n *node) bool(name string) bool { return n.attrs[name] == "true" || n.attrs[name] == "1" }

// overrideInt sets *value to an attribute if that is positive; otherwise *value keeps its default.
func (n *node) overrideInt(name string, value *int) {
	if configured := n.int(name); configured > 0 {
		*value = configured
	}
}

// overrideNumber sets *value to an attribute if that is positive; otherwise *value keeps its default.
func (n *node) overrideNumber(name string, value *float64) {
	if configured := n.number(name); configured > 0 {
		*value = configured
	}
}

// parse parses the text of a file and returns its root element. Its errors are of type *Error.
func parse(text []byte) (*node, error) {
	if len(text) > maxFileBytes {
		return nil, &Error{Line: 1, Element: unknownElement,
			Problem: fmt.Sprintf("the file is larger than %d bytes", maxFileBytes)}
	}
	tokens := xml.NewDecoder(bytes.NewReader(text))
	var builder treeBuilder
	for {
		line, _ := tokens.InputPos() // line where the token starts
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
		return nil, &Error{Line: 1, Element: unknownElement, Problem: "there is no root element"}
	}
	return builder.root, nil
}

// treeBuilder builds the tree of nodes from XML tokens.
type treeBuilder struct {
	root *node
	open []*node // elements that are not yet closed, outermost first
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
		return &Error{Line: line, Element: unknownElement, Problem: "document type declarations are not supported"}
	}
	return nil
}

func (p *treeBuilder) start(element xml.StartElement, line int) error {
	started := &node{name: element.Name.Local, line: line, attrs: map[string]string{}}
	for _, attr := range element.Attr {
		if _, duplicate := started.attrs[attr.Name.Local]; duplicate {
			return started.errorf("duplicate attribute %s", attr.Name.Local)
		}
		started.attrs[attr.Name.Local] = attr.Value
	}
	if len(p.open) >= maxDepth {
		return started.errorf("elements are nested more than %d deep", maxDepth)
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

// encode returns the XML file with the element as its root.
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
