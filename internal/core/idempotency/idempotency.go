// Package idempotency makes calls of an API safe to repeat: it remembers the responses of calls that carry an idempotency key, and checks
// the versions of conditional calls. It is pure.
package idempotency

import (
	"errors"
	"slices"
)

var (
	// ErrVersionMismatch says that what was to be changed has changed since the caller read it.
	ErrVersionMismatch = errors.New("it has changed since")
	// ErrKeyReused says that a key was used for another call.
	ErrKeyReused = errors.New("the key was used for another call")
	// ErrInProgress says that a call with this key is still running.
	ErrInProgress = errors.New("a call with this key is under way")
)

const (
	maxCalls  = 4096    // that are remembered; the oldest are forgotten first
	retention = 86400.0 // seconds for which a call is remembered
)

// Response is the response to a call.
type Response struct {
	Status int // of HTTP
	Body   []byte
}

// callID identifies a call; callers may use the same keys.
type callID struct {
	caller string
	key    string
}

type call struct {
	fingerprint uint64
	begunAt     float64
	finished    bool
	response    Response
}

// Cache remembers calls with idempotency keys. The zero value is an empty cache. It is not safe for concurrent use.
type Cache struct {
	calls map[callID]*call
	order []callID // oldest first
}

// Begin takes a call. fingerprint is a hash of the request. known says that the call was made before and had the returned response;
// otherwise the caller runs it and then calls End. Guards against a call that is repeated since its response was lost; without a key every
// call is run. The error is ErrKeyReused or ErrInProgress.
func (c *Cache) Begin(now float64, caller, key string, fingerprint uint64) (response Response, known bool, err error) {
	if key == "" {
		return Response{}, false, nil
	}
	id := callID{caller: caller, key: key}
	former := c.calls[id]
	if former == nil || now-former.begunAt >= retention {
		c.add(id, &call{fingerprint: fingerprint, begunAt: now})
		return Response{}, false, nil
	}
	if former.fingerprint != fingerprint {
		return Response{}, false, ErrKeyReused
	}
	if !former.finished {
		return Response{}, false, ErrInProgress
	}
	return former.response, true, nil
}

// End ends a call that Begin has taken. With keep its response is remembered; otherwise, where the call changed nothing, it may be made
// again under the same key.
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

// CheckVersion checks the condition of a call, as If-Match states it, against the present version of what it changes. An empty condition
// and "*" hold for any version. Guards against two callers who change one thing at once, each by what it has read.
func CheckVersion(condition, version string) error {
	if condition == "" || condition == "*" || condition == version {
		return nil
	}
	return ErrVersionMismatch
}
