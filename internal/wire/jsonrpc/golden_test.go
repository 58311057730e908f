package jsonrpc

import (
	"slices"
	"testing"

	"snowquay/internal/golden"
)

// The calls of one round: weights, bindings, admission and the request for acknowledgements.
func TestCallsOfARoundOnTheWire(t *testing.T) {
	names := ClassNames{"lookup", "order"}
	orders := [][]byte{
		AppendWeight(nil, 1, "s-5be2a07c", 1.5),
		AppendWeight(nil, 1, "s-00000001", 0),
		names.AppendAdmission(nil, 1, 2, 0.75, 1),
		names.AppendAdmission(nil, 1, 0, 1e6, 3),
		names.AppendAssignment(nil, 17, 1, 3),
		AppendAckRequest(nil, 905, false),
	}
	b := AppendWatch(nil, 1)
	b = AppendApply(b, 2, slices.Concat(orders[0], []byte(","), orders[1], []byte(","), orders[2]))
	b = AppendApply(b, 3, slices.Concat(orders[3], []byte(","), orders[4], []byte(","), orders[5]))
	golden.Bytes(t, "round.jsonl", b)
}
