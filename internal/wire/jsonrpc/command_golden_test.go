package jsonrpc

import (
	"bytes"
	"testing"

	"snowquay/internal/golden"
)

// The golden file holds the encoded calls of one round: weights, assignments, admission and a request for
// acknowledgements.
func TestEncodedCallsOfARound(t *testing.T) {
	names := ClassNames{"lookup", "order"}
	first := [][]byte{
		AppendWeight(nil, 1, "s-5be2a07c", 1.5),
		AppendWeight(nil, 1, "s-00000001", 0),
		names.AppendAdmission(nil, 1, 2, 0.75, 1),
	}
	second := [][]byte{
		names.AppendAdmission(nil, 1, 0, 1e6, 3),
		names.AppendAssignment(nil, 17, 1, 3),
		AppendAckRequest(nil, 905, false),
	}
	b := AppendWatch(nil, 1)
	b = AppendApply(b, 2, bytes.Join(first, []byte(",")))
	b = AppendApply(b, 3, bytes.Join(second, []byte(",")))
	golden.Bytes(t, "round.jsonl", b)
}
