package tenancy

import (
	"errors"
	"strings"
	"testing"
)

func TestParseName(t *testing.T) {
	for _, valid := range []string{"a", "7", "north-1", strings.Repeat("x", MaxNameLength)} {
		if name, err := ParseName(valid); err != nil || string(name) != valid {
			t.Errorf("ParseName(%q): error %v, want the same name and no error", valid, err)
		}
	}
	// Upper case, length, Unicode forms (composed, decomposed, full width, a similar letter of another script), and
	// separators of paths and UIDs.
	for _, invalid := range []string{"", "A", "north ", "-a", "a-", "a/b", "a.b", "ä", "a\u0308", "ａ", "а", "a\x00", "%61",
		strings.Repeat("x", MaxNameLength+1)} {
		if name, err := ParseName(invalid); !errors.Is(err, ErrInvalidName) || name != "" {
			t.Errorf("ParseName(%q) = %q without ErrInvalidName", invalid, name)
		}
	}
}

func TestSplitUID(t *testing.T) {
	for uid, want := range map[string]Name{
		"a/relay": "a",
		"a/b/c":   "a",
		"A/relay": "",
		"a/":      "",
		"a":       "",
		"/relay":  "",
		"a /x":    "",
	} {
		name, local, ok := SplitUID(uid)
		if ok != (want != "") {
			t.Errorf("SplitUID(%q): tenant %q, valid: %t, want the opposite", uid, name, ok)
		}
		if name != want && ok || ok && name.UID(local) != uid {
			t.Errorf("SplitUID(%q): tenant %q, proxy %q; this is the wrong tenant, or the parts do not form the UID", uid, name, local)
		}
	}
}
