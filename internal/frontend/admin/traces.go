package admin

import (
	"time"

	"snowquay/internal/core/tenancy"
)

// MessageTrace says what a message to a proxy was decided from and what became of it. Its fields are in the order of their JSON
// keys.
type MessageTrace struct {
	Decided     time.Time    `json:"decided"`
	Demand      int64        `json:"facts.demand"`  // demand events that the round started from
	Lists       int64        `json:"facts.lists"`   // events of server lists, likewise
	Streams     int64        `json:"facts.streams"` // events of proxies, likewise
	Traffic     int64        `json:"facts.traffic"` // events of upstreams, likewise
	Full        bool         `json:"full"`          // the message has whole tables
	Held        bool         `json:"held"`          // the proxy has acknowledged it
	Incarnation int64        `json:"incarnation"`   // of the tenant
	Lines       int64        `json:"lines"`         // table entries in the message
	Relay       string       `json:"relay"`         // UID of the proxy
	Round       int64        `json:"round"`
	Seconds     float64      `json:"seconds"` // from the decision until it was acknowledged, or else sent
	Tenant      tenancy.Name `json:"tenant"`
	Trace       string       `json:"trace"` // trace ID
	Urgent      bool         `json:"urgent"`
}
