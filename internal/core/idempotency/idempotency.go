// Package idempotency makes API calls safe to repeat: it stores the responses to calls that carry an idempotency key, and checks the
// versions of conditional calls. It performs no I/O.
package idempotency

import (
	"errors"
	"slices"
)

var (
	// ErrVersionMismatch reports that the resource has changed since the caller read it.
	ErrVersionMismatch = errors.New("the resource has changed since it was read")
	// ErrKeyReused reports that the caller has used the key for a different call.
	ErrKeyReused = errors.New("the idempotency key was already used for a different call")
	// ErrInProgress reports that a call with this key is still running.
	ErrInProgress = errors.New("a call with this idempotency key is in progress")
)

const (
	maxCalls  = 4096    // stored calls; the oldest are evicted first
	retention = 86400.0 // seconds for which a call is stored
)

// Response is the response to a call.
type Response struct {
	Status int // HTTP status code
	Body   []byte
}

// callID identifies a call. Keys are scoped to a caller: different callers may use the same key.
type callID struct {
	caller string
	key    string
}

type call struct {
	fingerprint uint64
	startedAt   float64
	finished    bool
	response    Response
}

// Cache stores calls that carry idempotency keys. The zero value is an empty cache. It is not safe for concurrent use.
type Cache struct {
	calls map[callID]*call
	order []callID // oldest first
}

// Begin registers a call before it is run. fingerprint is a hash of the request. If known is true, the call has already been run and its
// response is returned; otherwise the program runs the call and then calls End. This prevents a second run of a call that the client
// repeats because the response was lost. A call without a key is always run. The error is ErrKeyReused or ErrInProgress.
func (c *Cache) Begin(now float64, caller, key string, fingerprint uint64) (response Response, known bool, err error) {
	if key == "" {
		return Response{}, false, nil
	}
	id := callID{caller: caller, key: key}
	previous := c.calls[id]
	if previous == nil || now-previous.startedAt >= retention {
		c.add(id, &call{fingerprint: fingerprint, startedAt: now})
		return Response{}, false, nil
	}
	if previous.fingerprint != fingerprint {
		return Response{}, false, ErrKeyReused
	}
	if !previous.finished {
		return Response{}, false, ErrInProgress
	}
	return previous.response, true, nil
}

// End completes a call that Begin registered. If keep is true, the response is stored for repeated calls. Otherwise the call is removed,
// because it changed nothing, and may be made again with the same key.
func (c *Cache) End(caller, key string, response Response, keep bool) {
	id := callID{caller: caller, key: key}
	current := c.calls[id]
	if current == nil {
		return
	}
	if !keep {
		c.remove(id)
		return
	}
	current.finished = true
	current.response = response
}

func (c *Cache) add(id callID, added *call) {
	c.remove(id)
	for len(c.order) >= maxCalls {
		c.remove(c.order[0])
	}
	if c.calls == nil {
		c.calls = map[callID]*call{}
	}
	c.calls[id] = added
	c.order = append(c.order, id)
}

func (c *Cache) remove(id callID) {
	delete(c.calls, id)
	if i := slices.Index(c.order, id); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
}

// CheckVersion compares the condition of a call, as given in If-Match, with the current version of the resource. An empty condition and
// "*" match any version. This prevents lost updates when two callers change the same resource at once, each based on what it has read.
func CheckVersion(condition, version string) error {
	if condition == "" || condition == "*" || condition == version {
		return nil
	}
	return ErrVersionMismatch
}
