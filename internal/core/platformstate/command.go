package platformstate

import (
	"snowquay/balancer"
	"snowquay/internal/wire/jsonrpc"
)

// commandKind is what a command sets.
type commandKind byte

const (
	setWeight commandKind = iota
	assignTable
	setAdmission
	requestAck
)

// commandKey identifies the state that a command sets. A newer command with the same key supersedes one that
// has not been sent. Fields that the kind does not use are zero.
type commandKey struct {
	kind    commandKind
	table   balancer.Table
	classes balancer.ClassSet
	server  balancer.Server
	proxy   balancer.Proxy
}

// command is one element of a batch, encoded for the relay.
type command struct {
	key  commandKey
	text []byte // nil if superseded
	sent bool   // it was in a call that may have been carried out

	// Requests whose acknowledgement proves that the command was applied: that of the first call with it and that of the latest; 0: there is
	// none. Of a requestAck, its own.
	firstAckID  balancer.AckID
	latestAckID balancer.AckID
}

// provedBy reports whether the acknowledgement of a request proves that the command was applied.
func (c *command) provedBy(id balancer.AckID) bool {
	return c.firstAckID == id || c.latestAckID == id
}

// newAckRequest returns the command that requests an acknowledgement from the proxies that its call concerns.
func newAckRequest(id balancer.AckID) command {
	return command{
		key:         commandKey{kind: requestAck},
		text:        jsonrpc.AppendAckRequest(nil, int64(id), false),
		firstAckID:  id,
		latestAckID: id,
	}
}

// sameTarget reports whether two commands concern the same table or the same proxy, and so belong into one
// call.
func (k commandKey) sameTarget(other commandKey) bool {
	switch {
	case k.kind == requestAck || other.kind == requestAck:
		return false
	case k.kind == assignTable || other.kind == assignTable:
		return k.kind == other.kind && k.proxy == other.proxy
	}
	return k.table == other.table
}

// setsTable reports whether the command changes the contents of a table.
func (k commandKey) setsTable() bool { return k.kind == setWeight || k.kind == setAdmission }

// assigns reports whether the command assigns a table to a proxy.
func (k commandKey) assigns(p balancer.Proxy) bool { return k.kind == assignTable && k.proxy == p }
