// Package delta encodes and decodes the responses of the long-poll API: full weight tables and deltas, as JSON or CBOR
// (RFC 8949), and problem documents (RFC 9457).
//
// The package does no I/O. The API is described in internal/frontend/longpollhttp/openapi.json.
package delta

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Tables is the body of a response to a poll.
type Tables struct {
	Epoch          string  `json:"epoch"`          // identifies the run of the coordinator; hexadecimal digits
	Version        uint64  `json:"version"`        // the proxy sends it in its next poll
	Base           uint64  `json:"from"`           // lowest version of this epoch to which the proxy may apply the tables; 0: any state
	PollWithin     float64 `json:"ask-within"`     // the proxy must poll again within this number of seconds
	OwnershipEpoch uint64  `json:"lead,omitempty"` // epoch of the proxy's ownership, where several coordinators share the fleet
	Classes        []Class `json:"classes"`
}

// Class holds the changes to one request class, or its whole state.
type Class struct {
	Class      string   `json:"class"`
	Full       bool     `json:"full"` // Entries is the whole table: the proxy removes all other entries
	Entries    []Entry  `json:"lines"`
	Admission  *float64 `json:"level,omitempty"`     // admitted fraction or rate; absent: unchanged
	Retry      string   `json:"again,omitempty"`     // none, proof, failure or twice; absent: unchanged
	RetryAfter *float64 `json:"come-back,omitempty"` // seconds after which a rejected client may retry
}

// Entry is a table entry: the weight of a server. A weight of 0 removes the server.
type Entry struct {
	Server   string  `json:"server"`
	Weight   float64 `json:"weight"`
	Draining bool    `json:"drains,omitempty"` // the server is removed because it is draining
}

// ErrInvalidTables is returned for a malformed response, of which nothing may be applied.
var ErrInvalidTables = errors.New("invalid tables")

const maxNestedLevels = 8 // limit for CBOR data

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	options := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNestedLevels}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constants, which are valid
	}
	return mode
}

// Append appends the encoded tables to data: as CBOR if mediaType is CBOR, otherwise as JSON. JSON encoding fails for
// numbers that are not finite.
func Append(data []byte, mediaType string, tables *Tables) ([]byte, error) {
	var encoded []byte
	var err error
	if mediaType == CBOR {
		encoded, err = cbor.Marshal(tables)
	} else {
		encoded, err = json.Marshal(tables)
	}
	return append(data, encoded...), err
}

// Decode decodes tables, from CBOR if mediaType is CBOR and otherwise from JSON, and validates them: all numbers must be
// from 0 to maxNumber, and no class may name a server twice. Errors wrap ErrInvalidTables.
func Decode(data []byte, mediaType string, tables *Tables) error {
	var err error
	if mediaType == CBOR {
		err = decoder.Unmarshal(data, tables)
	} else {
		err = json.Unmarshal(data, tables)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidTables, err)
	}
	if !inRange(tables.PollWithin) {
		return fmt.Errorf("%w: poll within %v s", ErrInvalidTables, tables.PollWithin)
	}
	for i := range tables.Classes {
		if err := tables.Classes[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Class) validate() error {
	seen := make(map[string]bool, len(c.Entries))
	for _, entry := range c.Entries {
		if entry.Server == "" || seen[entry.Server] || !inRange(entry.Weight) {
			return fmt.Errorf("%w: class %q, server %q, weight %v", ErrInvalidTables, c.Class, entry.Server, entry.Weight)
		}
		seen[entry.Server] = true
	}
	if c.Admission != nil && !inRange(*c.Admission) {
		return fmt.Errorf("%w: class %q, admission %v", ErrInvalidTables, c.Class, *c.Admission)
	}
	if c.RetryAfter != nil && !inRange(*c.RetryAfter) {
		return fmt.Errorf("%w: class %q, retry after %v s", ErrInvalidTables, c.Class, *c.RetryAfter)
	}
	return nil
}

// maxNumber is the maximum of any number in tables. It keeps sums of weights finite.
const maxNumber = 1e12

func inRange(value float64) bool {
	return value >= 0 && value <= maxNumber
}

// AppliesTo reports whether a proxy that holds the given version of the given epoch may apply the tables. Otherwise the
// proxy must discard them and poll again: a response that is late, or that was meant for an earlier run of the proxy,
// would be applied to a state that it is not based on.
func (t *Tables) AppliesTo(epoch string, version uint64) bool {
	return t.Base == 0 || t.Epoch == epoch && t.Base <= version
}

// Stale reports whether the tables come from a coordinator that no longer owns the proxy, which has already followed a
// newer ownership epoch. The proxy must discard stale tables and poll another coordinator. The check covers a
// coordinator that was paused between checking its lease and answering.
func (t *Tables) Stale(followedEpoch uint64) bool { return t.OwnershipEpoch < followedEpoch }
