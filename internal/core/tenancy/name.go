// Package tenancy keeps the tenants of a hosted service: their names, which of them there are and by which settings, what each
// needs of what the host has, and to whom a connection belongs. It is pure: facts, calls and times come in, what becomes of them
// is returned. docs/hosting.md tells why it is as it is.
package tenancy

import (
	"errors"
	"fmt"
	"strings"
)

// Name of a tenant. Check makes one.
type Name string

// Incarnation tells the lives of one name apart: a tenant that is removed and made again is another one. None is given twice.
type Incarnation uint64

// ErrInvalidName says that a text is no tenant's name.
var ErrInvalidName = errors.New("no name of a tenant")

// MaxNameLength in bytes: that of a label of the domain name system (RFC 1035, section 2.3.4), so that a name can be one.
const MaxNameLength = 63

// ParseName takes a text as a name. Names are of lower-case letters, digits and hyphens, not at either end. Nothing is folded or
// normalised: a text that differs in case, in Unicode form or in length is another text, and none that could be taken for a name
// is one. Guards against two tenants whose names look alike, and against a relay that reaches a tenant by a name that only
// resembles its own; it does harm to nobody but those who wish for prettier names.
func ParseName(text string) (Name, error) {
	if len(text) == 0 || len(text) > MaxNameLength {
		return "", fmt.Errorf("%w: %d bytes, 1 to %d are possible", ErrInvalidName, len(text), MaxNameLength)
	}
	for i := range len(text) {
		c := text[i]
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-' && i > 0 && i < len(text)-1:
		case c >= 'A' && c <= 'Z':
			return "", fmt.Errorf("%w: %q has upper case; %q would be one", ErrInvalidName, text, strings.ToLower(text))
		default:
			return "", fmt.Errorf("%w: byte %d of %q is none of a-z, 0-9 and inner hyphens", ErrInvalidName, i+1, text)
		}
	}
	return Name(text), nil
}

// UIDSeparator a tenant's name and what its own staff calls a relay, in the UID that the relay says.
const UIDSeparator = "/"

// SplitUID takes a UID that a relay says, "tenant/relay", apart. ok is false where it names no tenant, or no relay of one.
func SplitUID(uid string) (of Name, local string, ok bool) {
	text, local, found := strings.Cut(uid, UIDSeparator)
	if !found || local == "" {
		return "", "", false
	}
	n, err := ParseName(text)
	return n, local, err == nil
}

// UID that a relay of a tenant says.
func (n Name) UID(local string) string { return string(n) + UIDSeparator + local }
