// Package tenancy holds what a host of many tenants agrees on: the tenants' names, the directory of tenants with their
// settings, what each requires of the host's capacity, and to which tenant a connection belongs.
//
// The package is pure: facts, calls and times are arguments, and what becomes of them is returned. Times are in seconds.
// docs/hosting.md gives the reasons for the design.
package tenancy

import (
	"errors"
	"fmt"
	"strings"
)

// Name of a tenant. ParseName makes one.
type Name string

// Incarnation numbers tenants over all names. A tenant that is removed and created again gets another one, and none is
// given twice.
type Incarnation uint64

// ErrInvalidName says that a text can't be the name of a tenant. Its text is part of the administration API's answers.
var ErrInvalidName = errors.New("no name of a tenant")

// MaxNameLength in bytes. It is that of a domain name label (RFC 1035, section 2.3.4), so that a name can be one.
const MaxNameLength = 63

// UIDSeparator separates a tenant's name from the tenant's own name of a proxy in a UID.
const UIDSeparator = "/"

// ParseName takes a text as a name, or returns ErrInvalidName. Names have lower-case letters, digits and inner hyphens.
// Nothing is folded or normalised, so that no two tenants' names look alike, and no proxy reaches a tenant by a name that
// only resembles its own.
func ParseName(text string) (Name, error) {
	if text == "" || len(text) > MaxNameLength {
		return "", fmt.Errorf("%w: %d bytes, 1 to %d are possible", ErrInvalidName, len(text), MaxNameLength)
	}
	for i := range len(text) {
		c := text[i]
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case c == '-' && i > 0 && i < len(text)-1:
		case c >= 'A' && c <= 'Z':
			return "", fmt.Errorf("%w: %q has upper case; %q would be one", ErrInvalidName, text, strings.ToLower(text))
		default:
			return "", fmt.Errorf("%w: byte %d of %q is none of a-z, 0-9 and inner hyphens", ErrInvalidName, i+1, text)
		}
	}
	return Name(text), nil
}

// SplitUID divides a UID as a proxy sends it, "tenant/proxy". ok is false if it names no tenant or no proxy.
func SplitUID(uid string) (tenant Name, local string, ok bool) {
	text, local, found := strings.Cut(uid, UIDSeparator)
	if !found || local == "" {
		return "", "", false
	}
	tenant, err := ParseName(text)
	return tenant, local, err == nil
}

// UID is what a proxy of a tenant sends as its UID, given the tenant's own name of the proxy.
func (n Name) UID(local string) string { return string(n) + UIDSeparator + local }
