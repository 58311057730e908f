package jsonrpc

import (
	"encoding/json"
	"testing"
)

func TestOrdersAreAsTheRelayReadsThem(t *testing.T) {
	n := ClassNames{"lookup", `od"d`}
	for want, got := range map[string][]byte{
		`{"do":"share","group":4,"host":"s-5be2a07c","share":1.5}`:                         AppendWeight(nil, 4, "s-5be2a07c", 1.5),
		`{"do":"bind","sidecar":17,"group":4,"for":["lookup"]}`:                            n.AppendAssignment(nil, 17, 4, 1),
		`{"do":"bind","sidecar":17,"group":4}`:                                             n.AppendAssignment(nil, 17, 4, 0),
		`{"do":"bind","sidecar":1,"group":2,"for":["lookup","od\"d"]}`:                     n.AppendAssignment(nil, 1, 2, 3),
		`{"do":"admit","group":4,"for":["lookup"],"gate":0.9,"again":1}`:                   n.AppendAdmission(nil, 4, 1, 0.9, 1),
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

func TestAnswersAndNews(t *testing.T) {
	for line, want := range map[string]struct {
		accepted int
		ok       bool
		err      string
	}{
		`{"id":8,"result":{"accepted":2}}`:               {2, true, ""},
		`{"id":8,"result":{"accepted":0}}`:               {0, true, ""},
		`{"id":8,"result":{"accepted":-1}}`:              {0, false, ""},
		`{"id":8,"result":{"accepted":1.5}}`:             {0, false, ""},
		`{"id":8,"result":{}}`:                           {0, false, ""},
		`{"id":8,"result":true}`:                         {0, false, ""},
		`{"id":8,"error":"limit"}`:                       {0, false, "limit"},
		`{"id":8,"error":{"code":-3,"message":"limit"}}`: {0, false, "limit"},
	} {
		var m Message
		if err := Parse([]byte(line), &m); err != nil || !m.Answer || m.ID != 8 || m.Error != want.err {
			t.Errorf("%s: %+v, %v", line, m, err)
		}
		if n, ok := m.AcceptedCount(); n != want.accepted || ok != want.ok {
			t.Errorf("%s: %d, %v", line, n, ok)
		}
	}
	var m Message
	if err := Parse([]byte(`{"method":"done","params":{"sidecar":17,"version":905,"lag_ms":310.4,"more":[]}}`), &m); err != nil || m.Answer ||
		*m.Params.Proxy != 17 || *m.Params.AckID != 905 || *m.Params.LatencyMS != 310.4 || m.Params.ExpectedRate != nil {
		t.Errorf("%+v, %v", m, err)
	}
	for _, line := range []string{"", "{}", "7", `{"id":-1,"result":1}`, `{"id":1}`, `{"method":"done","params":{"sidecar":"x"}}`, `{"method":7}`} {
		if err := Parse([]byte(line), &m); err == nil {
			t.Errorf("%q was read", line)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id":8,"result":{"accepted":2}}`))
	f.Add([]byte(`{"method":"attach","params":{"sidecar":1,"az":"a","share":2.5,"standing":true}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var m Message
		if err := Parse(line, &m); err != nil {
			return
		}
		if n, ok := m.AcceptedCount(); ok && (n < 0 || m.Error != "") {
			t.Fatalf("%d accepted, error %q", n, m.Error)
		}
	})
}
