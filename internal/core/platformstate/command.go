package platformstate

import (
	"snowquay/balancer"
	"snowquay/internal/wire/jsonrpc"
)

// commandKind identifies the kind of state that a command sets.
type commandKind byte

const (
	setWeight commandKind = iota
	assignTable
	setAdmission
	requestAck
)

// commandKey identifies the state that a command sets. A newer command supersedes a pending command with the same key.
// Fields that the kind does not use are zero.
type commandKey struct {
	kind    commandKind
	table   balancer.Table
	classes balancer.ClassSet
	server  balancer.Server
	proxy   balancer.Proxy
}

// command is one command of a call, encoded for the relay.
type command struct {
	key  commandKey
	text []byte // nil if the command is not to be sent any more
	sent bool   // the command was part of a call that may have been applied

	// IDs of the acknowledgement requests that confirm the command: the request of the first call that contained it and that of
	// the latest; 0 if there is none. For a requestAck both are its own ID.
	firstAckID  balancer.AckID
	latestAckID balancer.AckID
}

// confirmedBy reports whether the acknowledgement with the given ID proves that the command was applied.
func (c *command) confirmedBy(id balancer.AckID) bool {
	return c.firstAckID == id || c.latestAckID == id
}

// newAckRequest returns a command that requests an acknowledgement from the proxies that its call concerns.
func newAckRequest(id balancer.AckID) command {
	return command{
		key:         commandKey{kind: requestAck},
		text:        jsonrpc.AppendAckRequest(nil, int64(id), false),
		firstAckID:  id,
		latestAckID: id,
	}
}

// sameTarget reports whether two commands concern the same table or the same proxy, so that they should be sent in
// one call.
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

// assigns reports whether the command assigns a table to the given proxy.
func (k commandKey) assigns(p balancer.Proxy) bool { return k.kind == assignTable && k.proxy == p }
