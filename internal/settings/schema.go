package settings

import (
	_ "embed" // embeds the schema
	"errors"
	"fmt"
	"maps"
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Schema is the XML Schema 1.0 document for all settings files.
//
//go:embed schema/snowquay.xsd
var Schema []byte

// maxNumberLength is the maximum length of a number in a settings file, in bytes.
const maxNumberLength = 40

// schema is a parsed schema. It supports the subset of XML Schema that the embedded schema uses: named complex
// types with a sequence of elements and with attributes, and named simple types with a restriction.
type schema struct {
	roots   map[string]string // name of the type by root element
	complex map[string]*node
	simple  map[string]*node
}

func readSchema(text []byte) (*schema, error) {
	root, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	s := &schema{roots: map[string]string{}, complex: map[string]*node{}, simple: map[string]*node{}}
	for _, n := range root.children {
		name := n.attrs["name"]
		switch n.name {
		case "element":
			s.roots[name] = n.attrs["type"]
		case "complexType":
			s.complex[name] = n
		case "simpleType":
			s.simple[name] = n
		default:
			return nil, fmt.Errorf("schema: line %d: element <%s> is not supported", n.line, n.name)
		}
	}
	return s, nil
}

// validate checks a file, given by its root element, against the schema and sets missing attributes to their
// defaults. It returns all errors of the file, joined.
func (s *schema) validate(n *node, root string) error {
	if n.name != root {
		return n.errorf("the root element must be <%s>", root)
	}
	v := &validator{schema: s}
	v.checkElement(n, s.roots[root])
	return errors.Join(v.errs...)
}

// validator validates one file and collects its errors.
type validator struct {
	schema *schema
	errs   []error
}

func (v *validator) addError(n *node, format string, args ...any) {
	v.errs = append(v.errs, n.errorf(format, args...))
}

func (v *validator) checkElement(element *node, typeName string) {
	complexType := v.schema.complex[typeName]
	if element.text != "" {
		v.addError(element, "unexpected text %.40q", element.text)
	}
	v.checkAttributes(element, complexType)
	v.checkChildren(element, complexType)
}

func (v *validator) checkAttributes(element, complexType *node) {
	known := map[string]bool{"xmlns": true, "schemaLocation": true, "noNamespaceSchemaLocation": true, "xsi": true}
	for _, declaration := range complexType.childrenNamed("attribute") {
		name := declaration.attrs["name"]
		known[name] = true
		value, ok := element.attrs[name]
		if !ok {
			v.setDefault(element, declaration)
			continue
		}
		if err := v.schema.checkValue(value, declaration.attrs["type"]); err != nil {
			v.addError(element, "%s=%.60q: %v", name, value, err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(element.attrs)) {
		if !known[name] {
			v.addError(element, "unknown attribute %s", name)
		}
	}
}

// setDefault sets a missing attribute to its default. It records an error if the attribute is required.
func (v *validator) setDefault(element, declaration *node) {
	name := declaration.attrs["name"]
	if value, ok := declaration.attrs["default"]; ok {
		element.attrs[name] = value
		return
	}
	if declaration.attrs["use"] == "required" {
		v.addError(element, "attribute %s is missing", name)
	}
}

func (v *validator) checkChildren(parent, complexType *node) {
	var declarations []*node
	if sequence := complexType.firstChild("sequence"); sequence != nil {
		declarations = sequence.childrenNamed("element")
	}
	rest := parent.children
	for _, declaration := range declarations {
		name := declaration.attrs["name"]
		limits := occurrencesOf(declaration)
		count := 0
		for len(rest) > 0 && rest[0].name == name {
			count++
			if count == limits.maximum+1 {
				v.addError(rest[0], "more than %d elements of this name", limits.maximum)
			}
			v.checkElement(rest[0], declaration.attrs["type"])
			rest = rest[1:]
		}
		if count >= limits.minimum {
			continue
		}
		if len(rest) > 0 {
			v.addError(rest[0], "unexpected element, want <%s>", name)
			return
		}
		v.addError(parent, "element <%s> is missing", name)
	}
	if len(rest) > 0 {
		v.addError(rest[0], "unexpected element")
	}
}

// occurrences is the number of times that an element may occur in a sequence.
type occurrences struct {
	minimum int
	maximum int
}

func occurrencesOf(declaration *node) occurrences {
	result := occurrences{minimum: 1, maximum: 1}
	if value, ok := declaration.attrs["minOccurs"]; ok {
		result.minimum, _ = strconv.Atoi(value)
	}
	switch value := declaration.attrs["maxOccurs"]; value {
	case "":
	case "unbounded":
		result.maximum = maxFileBytes
	default:
		result.maximum, _ = strconv.Atoi(value)
	}
	return result
}

var (
	decimalPattern = regexp.MustCompile(`^[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)
	integerPattern = regexp.MustCompile(`^[+-]?[0-9]+$`)

	errNotBoolean      = errors.New("neither true nor false")
	errNotNumber       = errors.New("not a number")
	errNotInteger      = errors.New("not an integer")
	errPatternMismatch = errors.New("does not match the required pattern")
)

// checkValue checks the value of an attribute against a built-in type or a simple type of the schema.
func (s *schema) checkValue(value, typeName string) error {
	switch typeName {
	case "xs:string":
		return nil
	case "xs:boolean":
		if !slices.Contains([]string{"true", "false", "0", "1"}, value) {
			return errNotBoolean
		}
		return nil
	case "xs:decimal":
		if !decimalPattern.MatchString(value) || len(value) > maxNumberLength {
			return errNotNumber
		}
		return nil
	case "xs:integer":
		if !integerPattern.MatchString(value) || len(value) > maxNumberLength {
			return errNotInteger
		}
		return nil
	}
	restriction := s.simple[typeName].firstChild("restriction")
	if err := s.checkValue(value, restriction.attrs["base"]); err != nil {
		return err
	}
	return checkRestriction(value, restriction)
}

// checkRestriction checks a value against the facets of a simple type.
func checkRestriction(value string, restriction *node) error {
	var allowed []string
	for _, facet := range restriction.children {
		if facet.name == "enumeration" {
			allowed = append(allowed, facet.attrs["value"])
			continue
		}
		if err := checkFacet(value, facet.name, facet.attrs["value"]); err != nil {
			return err
		}
	}
	if allowed != nil && !slices.Contains(allowed, value) {
		return fmt.Errorf("must be one of %s", strings.Join(allowed, ", "))
	}
	return nil
}

func checkFacet(value, facet, limit string) error {
	switch facet {
	case "minInclusive", "maxInclusive", "minExclusive", "maxExclusive":
		return checkRange(value, facet, limit)
	case "minLength", "maxLength":
		length, _ := strconv.Atoi(limit)
		if facet == "minLength" && len(value) < length || facet == "maxLength" && len(value) > length {
			return fmt.Errorf("length of %d bytes is out of range", len(value))
		}
	case "pattern":
		matched, err := regexp.MatchString("^(?:"+limit+")$", value)
		if err != nil || !matched {
			return errPatternMismatch
		}
	}
	return nil
}

// checkRange checks a number against a bound. It uses rational numbers, since rounding to floating point would
// shift the bound.
func checkRange(value, facet, limit string) error {
	number, valueOK := new(big.Rat).SetString(value)
	bound, limitOK := new(big.Rat).SetString(limit)
	if !valueOK || !limitOK {
		return errNotNumber
	}
	order := number.Cmp(bound)
	switch {
	case facet == "minInclusive" && order < 0:
		return fmt.Errorf("must be at least %s", limit)
	case facet == "maxInclusive" && order > 0:
		return fmt.Errorf("must be at most %s", limit)
	case facet == "minExclusive" && order <= 0:
		return fmt.Errorf("must be greater than %s", limit)
	case facet == "maxExclusive" && order >= 0:
		return fmt.Errorf("must be less than %s", limit)
	}
	return nil
}
