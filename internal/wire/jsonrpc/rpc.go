// Package jsonrpc reads and writes the relay's JSON-RPC 2.0, one object to a line. It is pure.
package jsonrpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
)

// MaxCallBytes is how many bytes of orders one call may hold; the relay's.
const MaxCallBytes = 60_000

// Message is a line from the relay: an answer, which has an id, or a notification, which has a method.
type Message struct {
	ID     uint64
	Answer bool
	Method string
	Result json.RawMessage
	Error  string // empty: none
	Params Params
}

// Params are those of notifications; what is absent is nil.
type Params struct {
	Proxy        *int     `json:"sidecar"`
	Zone         string   `json:"az"`
	ExpectedRate *float64 `json:"share"`
	DefaultTable *bool    `json:"standing"`
	AckID        *int64   `json:"version"`
	LatencyMS    *float64 `json:"lag_ms"`
}

// ErrUnknownLine is a line that is neither.
var ErrUnknownLine = errors.New("neither an answer nor a notification")

// Parse reads a line.
func Parse(line []byte, m *Message) error {
	var l struct {
		ID     *uint64         `json:"id"`
		Method string          `json:"method"`
		Result json.RawMessage `json:"result"`
		Error  json.RawMessage `json:"error"`
		Params json.RawMessage `json:"params"`
	}
	*m = Message{}
	if err := json.Unmarshal(line, &l); err != nil {
		return err
	}
	switch {
	case l.Method != "":
		m.Method = l.Method
		if len(l.Params) > 0 {
			return json.Unmarshal(l.Params, &m.Params)
		}
		return nil
	case l.ID != nil && (l.Result != nil || l.Error != nil):
		m.ID, m.Answer, m.Result = *l.ID, true, l.Result
		if l.Error != nil && !bytes.Equal(l.Error, []byte("null")) {
			m.Error = word(l.Error)
		}
		return nil
	}
	return ErrUnknownLine
}

// word is what an error says: itself, or the words in its object.
func word(b json.RawMessage) string {
	var e struct {
		Message string          `json:"message"`
		Data    json.RawMessage `json:"data"`
	}
	var s string
	if json.Unmarshal(b, &s) == nil && s != "" {
		return s
	}
	if json.Unmarshal(b, &e) == nil && e.Message != "" {
		return strings.TrimSpace(e.Message + " " + strings.Trim(string(e.Data), `"`))
	}
	return string(b)
}

// AcceptedCount reads the result of an apply call; ok is false where it can't be read.
func (m *Message) AcceptedCount() (n int, ok bool) {
	var r struct {
		Accepted *int `json:"accepted"`
	}
	if m.Error != "" || json.Unmarshal(m.Result, &r) != nil || r.Accepted == nil || *r.Accepted < 0 {
		return 0, false
	}
	return *r.Accepted, true
}

// AppendWatch writes the call that asks for news.
func AppendWatch(b []byte, id uint64) []byte {
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	b = strconv.AppendUint(b, id, 10)
	return append(b, `,"method":"relay.watch"}`+"\n"...)
}

// AppendApply writes a call that carries orders: objects that commas part.
func AppendApply(b []byte, id uint64, orders []byte) []byte {
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	b = strconv.AppendUint(b, id, 10)
	b = append(b, `,"method":"relay.apply","params":{"changes":[`...)
	b = append(b, orders...)
	return append(b, "]}}\n"...)
}

// ClassNames are the classes by place, as orders name them.
type ClassNames []string

func text(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // a string always has a JSON form
	return append(b, quoted...)
}

func number(b []byte, key string, v int64) []byte {
	b = append(b, key...)
	return strconv.AppendInt(b, v, 10)
}

func figure(b []byte, key string, v float64) []byte {
	b = append(b, key...)
	return strconv.AppendFloat(b, v, 'f', -1, 64)
}

func (n ClassNames) set(b []byte, classes uint64) []byte {
	if classes == 0 { // all
		return b
	}
	b = append(b, `,"for":[`...)
	first := true
	for k, name := range n {
		if classes>>k&1 == 1 {
			if !first {
				b = append(b, ',')
			}
			b, first = text(b, name), false
		}
	}
	return append(b, ']')
}

// AppendWeight writes an order that sets a table's line; a share of 0 removes it.
func AppendWeight(b []byte, group int, host string, share float64) []byte {
	b = number(b, `{"do":"share","group":`, int64(group))
	b = append(b, `,"host":`...)
	b = text(b, host)
	return append(figure(b, `,"share":`, share), '}')
}

// AppendAssignment writes an order that gives a proxy a table for classes, a set of their places; 0 stands for all.
func (n ClassNames) AppendAssignment(b []byte, sidecar, group int, classes uint64) []byte {
	b = number(b, `{"do":"bind","sidecar":`, int64(sidecar))
	b = number(b, `,"group":`, int64(group))
	return append(n.set(b, classes), '}')
}

// AppendAdmission writes an order that sets a level and the way of trying again.
func (n ClassNames) AppendAdmission(b []byte, group int, classes uint64, gate float64, again int) []byte {
	b = number(b, `{"do":"admit","group":`, int64(group))
	b = n.set(b, classes)
	b = figure(b, `,"gate":`, gate)
	return append(number(b, `,"again":`, int64(again)), '}')
}

// AppendAckRequest writes an order that asks for an answer: of all proxies, or of those that the call concerns.
func AppendAckRequest(b []byte, stamp int64, all bool) []byte {
	b = number(b, `{"do":"mark","stamp":`, stamp)
	if all {
		return append(b, `,"yes":1}`...)
	}
	return append(b, `,"yes":0}`...)
}
