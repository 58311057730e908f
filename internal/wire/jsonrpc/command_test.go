package jsonrpc

import (
	"encoding/json"
	"testing"
)

func TestEncodedCommands(t *testing.T) {
	names := ClassNames{"lookup", `od"d`}
	for want, got := range map[string][]byte{
		`{"do":"share","group":4,"host":"s-5be2a07c","share":1.5}`:                         AppendWeight(nil, 4, "s-5be2a07c", 1.5),
		`{"do":"bind","sidecar":17,"group":4,"for":["lookup"]}`:                            names.AppendAssignment(nil, 17, 4, 1),
		`{"do":"bind","sidecar":17,"group":4}`:                                             names.AppendAssignment(nil, 17, 4, 0),
		`{"do":"bind","sidecar":1,"group":2,"for":["lookup","od\"d"]}`:                     names.AppendAssignment(nil, 1, 2, 3),
		`{"do":"admit","group":4,"for":["lookup"],"gate":0.9,"again":1}`:                   names.AppendAdmission(nil, 4, 1, 0.9, 1),
		`{"do":"mark","stamp":905,"yes":1}`:                                                AppendAckRequest(nil, 905, true),
		`{"do":"mark","stamp":905,"yes":0}`:                                                AppendAckRequest(nil, 905, false),
		`{"jsonrpc":"2.0","id":8,"method":"relay.apply","params":{"changes":[{}]}}` + "\n": AppendApply(nil, 8, []byte("{}")),
		`{"jsonrpc":"2.0","id":10,"method":"relay.watch"}` + "\n":                          AppendWatch(nil, 10),
	} {
		if string(got) != want || !json.Valid(got) {
			t.Errorf("%s, want %s", got, want)
		}
	}
}
