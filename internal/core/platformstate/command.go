package platformstate

import "snowquay/balancer"

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
	key   commandKey
	text  []byte         // nil if superseded
	ackID balancer.AckID // of a requestAck; of another command, the one whose acknowledgement proves that it was applied; 0: none does
	sent  bool           // it was in a call that may have been carried out
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
