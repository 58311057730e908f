// Package discovery parses the server lists that the discovery service sends: JSON objects, one per line of a
// watch.
//
// The package does no I/O and reads no clock.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// ErrNotList reports a JSON object that is not a server list: its version or its servers are absent.
var ErrNotList = errors.New("not a server list: version or servers missing")

// List is the full server list or a set of changes to it.
type List struct {
	Version   int64    `json:"version"`
	Full      bool     `json:"full"` // false for a set of changes
	Servers   []Server `json:"servers"`
	Malformed int      `json:"-"` // number of entries that could not be parsed and were left out of Servers
}

// Server is an entry of a server list.
type Server struct {
	ID            string  `json:"id"`
	Address       string  `json:"addr"` // address and port for health checks
	Zone          string  `json:"zone"`
	Kind          string  `json:"kind"` // machine kind
	FailureDomain int     `json:"cell"`
	State         State   `json:"state"`
	Weight        float64 `json:"weight"`
	StartedMS     float64 `json:"started_ms"` // Unix time in milliseconds; 0 means long ago
	Malformed     bool    `json:"-"`          // a field had the wrong type and was set to zero
}

// Upper limits of the numbers of a server. A server with a number beyond its limit is not usable.
const (
	maxWeight    = 1e12
	maxStartedMS = 1e14 // beyond the year 5000
)

// NumbersValid reports whether the weight and the start of the server are within their limits.
func (s *Server) NumbersValid() bool {
	return s.Weight >= 0 && s.Weight <= maxWeight && s.StartedMS >= 0 && s.StartedMS <= maxStartedMS
}

// State is the lifecycle state of a server. Discovery may send values other than the constants below.
type State string

// Lifecycle states of a server.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Removed  State = "gone"
)

// Parse parses a server list. An entry that cannot be parsed is left out and counted in List.Malformed, but one with
// an ID is kept and marked as Server.Malformed. Parse returns ErrNotList for any other JSON object, and an error that
// wraps one of encoding/json for any other text.
func Parse(line []byte) (*List, error) {
	var fields struct {
		Version *int64             `json:"version"`
		Full    bool               `json:"full"`
		Servers *[]json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, fmt.Errorf("parse server list: %w", err)
	}
	if fields.Version == nil || fields.Servers == nil {
		return nil, ErrNotList
	}
	list := &List{
		Version: *fields.Version,
		Full:    fields.Full,
		Servers: make([]Server, 0, len(*fields.Servers)),
	}
	for _, text := range *fields.Servers {
		server, err := parseServer(text)
		if err != nil {
			list.Malformed++
			continue
		}
		list.Servers = append(list.Servers, server)
	}
	return list, nil
}

// parseServer parses an entry. A field of the wrong type is not an error if the entry has a valid ID.
func parseServer(text json.RawMessage) (Server, error) {
	var server Server
	err := json.Unmarshal(text, &server)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && server.ID != "" {
		server.Malformed = true
		return server, nil
	}
	return server, err
}

// ListPath is the URL path of the full list.
const ListPath = "/registry/instances"

// WatchPath returns the URL path of a watch for the changes after the given version.
func WatchPath(version int64) string {
	return ListPath + "?stream=1&index=" + strconv.FormatInt(version, 10)
}
