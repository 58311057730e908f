// Package tenancy implements the tenant management of a host: tenant names, the directory of tenants with their settings,
// admission by the tenants' resource requirements and the host's capacity, and the routing of connections to tenants.
//
// The package is pure: it has no I/O and no clock. Events and times are passed as arguments, and results are returned. Times
// are in seconds. docs/hosting.md gives the reasons for the design.
package tenancy

import (
	"errors"
	"fmt"
	"strings"
)

// Name is the name of a tenant. Use ParseName to create one.
type Name string

// Incarnation is a number that is unique among all tenants, past ones included. A tenant that is removed and created again
// gets a new one.
type Incarnation uint64

// ErrInvalidName reports that a text can't be the name of a tenant. The administration API's responses contain its text.
var ErrInvalidName = errors.New("no name of a tenant")

// MaxNameLength is the maximum length of a name in bytes: that of a domain name label (RFC 1035, section 2.3.4), so that a
// name can be used as one.
const MaxNameLength = 63

// UIDSeparator separates the tenant's name from the tenant's own name of the proxy in a UID.
const UIDSeparator = "/"

// ParseName validates a tenant name. Errors wrap ErrInvalidName. Names consist of lower-case letters, digits and inner
// hyphens. There is no case folding or Unicode normalization, so that no two tenants' names look alike, and no proxy reaches a
// tenant by a name that only resembles the tenant's name.
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

// SplitUID splits a UID of the form "tenant/proxy" that a proxy has sent. ok is false if the tenant's name is invalid or the
// proxy's name is missing.
func SplitUID(uid string) (tenant Name, local string, ok bool) {
	text, local, found := strings.Cut(uid, UIDSeparator)
	if !found || local == "" {
		return "", "", false
	}
	tenant, err := ParseName(text)
	return tenant, local, err == nil
}

// UID returns the UID that a proxy of the tenant sends, given the tenant's own name of the proxy.
func (n Name) UID(local string) string { return string(n) + UIDSeparator + local }
