package jsonrpc

import "testing"

func TestParseResponse(t *testing.T) {
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
		`{"id":8,"result":true,"error":null}`:            {0, false, ""},
		`{"id":8,"error":"limit"}`:                       {0, false, "limit"},
		`{"id":8,"error":{"code":-3,"message":"limit"}}`: {0, false, "limit"},
	} {
		message, err := Parse([]byte(line))
		response, ok := message.(*Response)
		if err != nil || !ok || response.ID != 8 {
			t.Errorf("%s: parsed as %+v, error %v", line, message, err)
			continue
		}
		if want.err == "" && response.Err != nil || want.err != "" && (response.Err == nil || response.Err.Message != want.err) {
			t.Errorf("%s: error %v, want %q", line, response.Err, want.err)
		}
		if count, ok := response.AcceptedCount(); count != want.accepted || ok != want.ok {
			t.Errorf("%s: accepted count %d, ok %v", line, count, ok)
		}
	}
}

func TestParseEvent(t *testing.T) {
	latencyMS := 310.4 // not a constant, so that the division rounds as in Parse
	for line, want := range map[string]Event{
		`{"method":"done","params":{"sidecar":17,"version":905,"lag_ms":310.4,"more":[]}}`: {Kind: CommandsAcknowledged, Proxy: 17, AckID: 905, Latency: latencyMS / 1000},
		`{"method":"done","params":{"sidecar":17,"version":905}}`:                          {Kind: CommandsAcknowledged, Proxy: 17, Incomplete: true},
		`{"method":"done","params":{"sidecar":17,"version":905,"lag_ms":-1}}`:              {Kind: CommandsAcknowledged, Proxy: 17, Incomplete: true},
		`{"method":"attach","params":{"sidecar":1,"az":"a","share":2.5,"standing":true}}`:  {Kind: ProxyJoined, Proxy: 1, Zone: "a", ExpectedRate: 2.5, DefaultTable: true},
		`{"method":"attach","params":{"sidecar":1,"az":"a","share":2.5}}`:                  {Kind: ProxyJoined, Proxy: 1, Incomplete: true},
		`{"method":"attach","params":{"sidecar":1,"az":"a","share":-1,"standing":true}}`:   {Kind: ProxyJoined, Proxy: 1, Incomplete: true},
		`{"method":"detach","params":{"sidecar":0}}`:                                       {Kind: ProxyLeft},
		`{"method":"detach"}`:                                {Kind: ProxyLeft, Proxy: -1},
		`{"method":"ping"}`:                                  {Kind: Heartbeat, Proxy: -1},
		`{"method":"unheard of","params":{"sidecar":3}}`:     {Kind: UnknownEvent, Proxy: 3},
		`{"method":"ping","id":8,"result":{"accepted":"2"}}`: {Kind: Heartbeat, Proxy: -1},
	} {
		message, err := Parse([]byte(line))
		event, ok := message.(*Event)
		if err != nil || !ok || *event != want {
			t.Errorf("%s: parsed as %+v, error %v", line, message, err)
		}
	}
}

func TestParseRejectsOtherLines(t *testing.T) {
	for _, line := range []string{"", "{}", "7", `{"id":-1,"result":1}`, `{"id":1}`, `{"method":"done","params":{"sidecar":"x"}}`, `{"method":7}`} {
		if message, err := Parse([]byte(line)); err == nil || message != nil {
			t.Errorf("%q was parsed as %+v, want an error", line, message)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id":8,"result":{"accepted":2}}`))
	f.Add([]byte(`{"method":"attach","params":{"sidecar":1,"az":"a","share":2.5,"standing":true}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		message, err := Parse(line)
		if err != nil {
			return
		}
		response, ok := message.(*Response)
		if !ok {
			return
		}
		if count, ok := response.AcceptedCount(); ok && (count < 0 || response.Err != nil) {
			t.Fatalf("accepted count %d with error %v", count, response.Err)
		}
	})
}
