package admin

import (
	"time"

	"snowquay/internal/core/tenancy"
)

// MessageTrace describes the inputs of the decision behind a message to a proxy, and the message's delivery. Its fields are in the
// order of their JSON keys.
type MessageTrace struct {
	Decided     time.Time    `json:"decided"`
	Demand      int64        `json:"facts.demand"`  // number of demand events that the round was based on
	Lists       int64        `json:"facts.lists"`   // number of server list events that the round was based on
	Streams     int64        `json:"facts.streams"` // number of proxy events that the round was based on
	Traffic     int64        `json:"facts.traffic"` // number of upstream events that the round was based on
	Full        bool         `json:"full"`          // the message contains whole tables
	Held        bool         `json:"held"`          // the proxy has acknowledged it
	Incarnation int64        `json:"incarnation"`   // incarnation of the tenant
	Lines       int64        `json:"lines"`         // table entries in the message
	Relay       string       `json:"relay"`         // UID of the proxy
	Round       int64        `json:"round"`
	Seconds     float64      `json:"seconds"` // seconds from the decision until the message was acknowledged; if it was not, until it was sent
	Tenant      tenancy.Name `json:"tenant"`
	Trace       string       `json:"trace"` // trace ID
	Urgent      bool         `json:"urgent"`
}
