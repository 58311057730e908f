// Package discovery reads the lists of servers that discovery delivers: JSON objects, one on each line of a
// watch.
//
// The package is pure: it keeps no connection and no clock.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// ErrNotList reports a JSON object without a version or without servers.
var ErrNotList = errors.New("no list of servers")

// List is the full list of servers, or what has changed of it.
type List struct {
	Version   int64    `json:"version"`
	Full      bool     `json:"full"`
	Servers   []Server `json:"servers"`
	Malformed int      `json:"-"` // entries that could not be read and are not among Servers
}

// Server is an entry of a list.
type Server struct {
	ID            string  `json:"id"`
	Address       string  `json:"addr"` // of its health checks
	Zone          string  `json:"zone"`
	Kind          string  `json:"kind"` // of machine
	FailureDomain int     `json:"cell"`
	State         State   `json:"state"`
	Weight        float64 `json:"weight"`
	StartedMS     float64 `json:"started_ms"` // Unix time in milliseconds; 0 stands for long ago
	Malformed     bool    `json:"-"`          // a field has another type, and is zero here
}

// State is the lifecycle state of a server. Discovery may name others than the constants here.
type State string

// The states of a server.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Removed  State = "gone"
)

// Parse reads a list. Entries that cannot be read are left out and counted; those with an id stay, as
// Malformed. It returns ErrNotList for another object, and an error of encoding/json for other text.
func Parse(line []byte) (*List, error) {
	var fields struct {
		Version *int64             `json:"version"`
		Full    bool               `json:"full"`
		Servers *[]json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, fmt.Errorf("list of servers: %w", err)
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

// parseServer reads an entry. A field of another type is no error if the server is known by its id.
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

// ListPath is the path of the full list.
const ListPath = "/registry/instances"

// WatchPath returns the path of a watch of the changes after a version.
func WatchPath(version int64) string {
	return ListPath + "?stream=1&index=" + strconv.FormatInt(version, 10)
}
