// Package discovery reads discovery's lists: JSON objects, one to a line where they are watched. It is pure.
package discovery

import (
	"encoding/json"
	"errors"
	"strconv"
)

// List is the whole list of servers, or what has changed of it.
type List struct {
	Version   int64    `json:"version"`
	Full      bool     `json:"full"`
	Servers   []Server `json:"servers"`
	Malformed int      `json:"-"` // entries that can't be read; they are left out
}

// Server is an entry of a list.
type Server struct {
	ID            string  `json:"id"`
	Address       string  `json:"addr"`
	Zone          string  `json:"zone"`
	Kind          string  `json:"kind"`
	FailureDomain int     `json:"cell"`
	State         string  `json:"state"`
	Weight        float64 `json:"weight"`
	StartedMS     float64 `json:"started_ms"` // Unix time in milliseconds; 0: long ago
	Malformed     bool    `json:"-"`          // a field is of another type
}

// States of a server.
const (
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// ErrNotList is an object that is no list.
var ErrNotList = errors.New("no list of servers")

// Parse reads a list.
func Parse(line []byte) (*List, error) {
	var l struct {
		List
		Version *int64             `json:"version"`
		Servers *[]json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(line, &l); err != nil {
		return nil, err
	}
	if l.Version == nil || l.Servers == nil {
		return nil, ErrNotList
	}
	l.List.Version, l.List.Servers = *l.Version, make([]Server, 0, len(*l.Servers))
	for _, text := range *l.Servers {
		var s Server
		var field *json.UnmarshalTypeError
		if err := json.Unmarshal(text, &s); errors.As(err, &field) && s.ID != "" {
			s.Malformed = true
		} else if err != nil {
			l.Malformed++
			continue
		}
		l.List.Servers = append(l.List.Servers, s)
	}
	return &l.List, nil
}

// ListPath is the path of the whole list.
const ListPath = "/registry/instances"

// WatchPath is the path of a watch of what changes after a version.
func WatchPath(version int64) string {
	return ListPath + "?stream=1&index=" + strconv.FormatInt(version, 10)
}
