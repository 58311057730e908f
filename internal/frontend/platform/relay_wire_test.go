package platform

import (
	"encoding/json"
	"fmt"
)

// relayRequest is a request of the program as decoded by a relay.
type relayRequest struct {
	ID     uint64 `json:"id"`
	Method string `json:"method"`
	Params struct {
		Commands []relayCommand `json:"changes"`
	} `json:"params"`
}

// Methods of a relayRequest.
const (
	watchMethod = "relay.watch"
	applyMethod = "relay.apply"
)

// relayCommand is a command as decoded by a relay. Tests dereference the fields that a kind uses, so a missing field
// fails them.
type relayCommand struct {
	Kind   string   `json:"do"`
	Table  *int     `json:"group"`
	Server *string  `json:"host"`
	Weight *float64 `json:"share"`
	Proxy  *int     `json:"sidecar"`
	AckID  *int64   `json:"stamp"`
}

// Kinds of a relayCommand.
const (
	weightKind     = "share"
	assignmentKind = "bind"
	ackRequestKind = "mark"
)

func decodeRequest(line []byte) (relayRequest, error) {
	var request relayRequest
	err := json.Unmarshal(line, &request)
	return request, err
}

// joinLine returns the event that a proxy has joined.
func joinLine(proxy int, zone string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"attach","params":{"sidecar":%d,"az":%q,"share":5,"standing":true}}`+"\n", proxy, zone)
}

// leaveLine returns the event that a proxy has left.
func leaveLine(proxy int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"detach","params":{"sidecar":%d}}`+"\n", proxy)
}

// ackLine returns the event that a proxy has acknowledged commands.
func ackLine(proxy int, id int64) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"done","params":{"sidecar":%d,"version":%d,"lag_ms":100}}`+"\n", proxy, id)
}

// heartbeatLine is the heartbeat event of a relay.
const heartbeatLine = `{"jsonrpc":"2.0","method":"ping","params":{}}` + "\n"

// subscribedLine returns the response that confirms a subscription.
func subscribedLine(id uint64) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", id)
}
