// Package delta is what the long-poll API says: tables and what changed in them, as JSON or as CBOR (RFC 8949), and
// problem documents (RFC 9457). It is pure: bytes in, structures out, and back. api/openapi.json describes it.
package delta

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Media types.
const (
	JSON             = "application/json"
	CBOR             = "application/cbor"
	ProblemMediaType = "application/problem+json"
)

// Tables is an answer to a poll.
type Tables struct {
	Epoch          string  `json:"epoch"`          // the coordinator's life, in hexadecimal digits
	Version        uint64  `json:"version"`        // to be named in the next poll
	Base           uint64  `json:"from"`           // version of this epoch that the proxy must hold, or a later one, to apply it; 0: any
	PollWithin     float64 `json:"ask-within"`     // seconds
	OwnershipEpoch uint64  `json:"lead,omitempty"` // epoch of who leads what, where coordinators share the fleet
	Classes        []Class `json:"classes"`
}

// Class is what changed for one query class, or all of it.
type Class struct {
	Class      string   `json:"class"`
	Full       bool     `json:"full"` // lines that are not here are to be dropped
	Entries    []Entry  `json:"lines"`
	Admission  *float64 `json:"level,omitempty"`     // share or rate that is let in; absent: as before
	Retry      string   `json:"again,omitempty"`     // none, proof, failure or twice; absent: as before
	RetryAfter *float64 `json:"come-back,omitempty"` // seconds after which a refused client may come again
}

// Entry is a server's weight; 0 takes it away.
type Entry struct {
	Server   string  `json:"server"`
	Weight   float64 `json:"weight"`
	Draining bool    `json:"drains,omitempty"`
}

// Problem is a problem document.
type Problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	RetryAfter float64 `json:"retry-after,omitempty"` // seconds
}

// ErrInvalidTables says that an answer can't be used; nothing of it is to be applied.
var ErrInvalidTables = errors.New("tables that make no sense")

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Append writes tables in a media type.
func Append(b []byte, media string, t *Tables) ([]byte, error) {
	var text []byte
	var err error
	if media == CBOR {
		text, err = cbor.Marshal(t)
	} else {
		text, err = json.Marshal(t)
	}
	return append(b, text...), err
}

// Decode reads tables and checks them whole: weights and levels are finite and not below 0, and no server is named twice
// in a class.
func Decode(b []byte, media string, t *Tables) error {
	var err error
	if media == CBOR {
		err = decoder.Unmarshal(b, t)
	} else {
		err = json.Unmarshal(b, t)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidTables, err)
	}
	for _, c := range t.Classes {
		seen := make(map[string]bool, len(c.Entries))
		for _, l := range c.Entries {
			if seen[l.Server] || l.Server == "" || !(l.Weight >= 0) || math.IsInf(l.Weight, 0) {
				return fmt.Errorf("%w: class %q, server %q, weight %v", ErrInvalidTables, c.Class, l.Server, l.Weight)
			}
			seen[l.Server] = true
		}
		if c.Admission != nil && (!(*c.Admission >= 0) || math.IsInf(*c.Admission, 0)) {
			return fmt.Errorf("%w: class %q has level %v", ErrInvalidTables, c.Class, *c.Admission)
		}
	}
	return nil
}

// AppliesTo tells whether a proxy that holds a version of an epoch may apply an answer. One that does not fit is dropped, and
// the proxy asks again; without that an answer that comes late, or to a former life of the proxy, would be applied to a
// state that is not there.
func (t *Tables) AppliesTo(epoch string, version uint64) bool {
	return t.Base == 0 || t.Epoch == epoch && t.Base <= version
}

// Stale tells whether an answer is of a coordinator that led the proxy before another one did: the proxy has followed a
// newer epoch, and must drop it. Guards against a coordinator that was paused between its last look at its lease and its
// answer; it does harm to nobody: the proxy asks another one.
func (t *Tables) Stale(followed uint64) bool { return t.OwnershipEpoch < followed }

// Accepts picks the media type for an Accept header; ok is false if it allows none of ours.
func Accepts(header string) (media string, ok bool) {
	if strings.TrimSpace(header) == "" {
		return JSON, true
	}
	for part := range strings.SplitSeq(header, ",") {
		kind, params, _ := strings.Cut(strings.TrimSpace(part), ";")
		if strings.Contains(strings.ReplaceAll(params, " ", "")+";", "q=0;") {
			continue
		}
		switch strings.ToLower(strings.TrimSpace(kind)) {
		case JSON, "*/*", "application/*":
			return JSON, true
		case CBOR:
			return CBOR, true
		}
	}
	return "", false
}
