package jsonrpc

import (
	"encoding/json"
	"strconv"
)

// MaxCallBytes is the size of the largest call that the relay accepts, in bytes.
const MaxCallBytes = 60_000

// ClassNames holds the names of the request classes, indexed by class number. Commands refer to classes by name.
type ClassNames []string

// AppendWatch appends a call that subscribes to the events of the relay.
func AppendWatch(b []byte, id uint64) []byte {
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	b = strconv.AppendUint(b, id, 10)
	return append(b, `,"method":"relay.watch"}`+"\n"...)
}

// AppendApply appends a call with a batch of commands. The commands are encoded and separated by commas.
func AppendApply(b []byte, id uint64, commands []byte) []byte {
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	b = strconv.AppendUint(b, id, 10)
	b = append(b, `,"method":"relay.apply","params":{"changes":[`...)
	b = append(b, commands...)
	return append(b, "]}}\n"...)
}

// AppendWeight appends a command that sets the weight of a server in a table; weight 0 removes the server from
// the table.
func AppendWeight(b []byte, table int, server string, weight float64) []byte {
	b = appendInt(b, `{"do":"share","group":`, int64(table))
	b = append(b, `,"host":`...)
	b = appendString(b, server)
	b = appendFloat(b, `,"share":`, weight)
	return append(b, '}')
}

// AppendAssignment appends a command that assigns a table to a proxy for a set of classes. Bit k of classes stands
// for class k; 0 means all classes.
func (n ClassNames) AppendAssignment(b []byte, proxy, table int, classes uint64) []byte {
	b = appendInt(b, `{"do":"bind","sidecar":`, int64(proxy))
	b = appendInt(b, `,"group":`, int64(table))
	b = n.appendClasses(b, classes)
	return append(b, '}')
}

// AppendAdmission appends a command that sets the admission fraction or rate and the retry policy of a set of
// classes. Bit k of classes stands for class k; 0 means all classes.
func (n ClassNames) AppendAdmission(b []byte, table int, classes uint64, admission float64, retryPolicy int) []byte {
	b = appendInt(b, `{"do":"admit","group":`, int64(table))
	b = n.appendClasses(b, classes)
	b = appendFloat(b, `,"gate":`, admission)
	b = appendInt(b, `,"again":`, int64(retryPolicy))
	return append(b, '}')
}

// AppendAckRequest appends a command that requests acknowledgements with the given ID: from all proxies, or only
// from those that the batch affects.
func AppendAckRequest(b []byte, id int64, all bool) []byte {
	b = appendInt(b, `{"do":"mark","stamp":`, id)
	if all {
		return append(b, `,"yes":1}`...)
	}
	return append(b, `,"yes":0}`...)
}

// appendClasses appends the member that restricts a command to a set of classes. It appends nothing if the command
// applies to all classes.
func (n ClassNames) appendClasses(b []byte, classes uint64) []byte {
	if classes == 0 {
		return b
	}
	b = append(b, `,"for":[`...)
	first := true
	for class, name := range n {
		if classes>>class&1 == 0 {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = appendString(b, name)
	}
	return append(b, ']')
}

func appendString(b []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // encoding a string cannot fail
	return append(b, quoted...)
}

func appendInt(b []byte, key string, value int64) []byte {
	b = append(b, key...)
	return strconv.AppendInt(b, value, 10)
}

func appendFloat(b []byte, key string, value float64) []byte {
	b = append(b, key...)
	return strconv.AppendFloat(b, value, 'f', -1, 64)
}
