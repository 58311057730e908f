package longpollhttp

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"snowquay/balancer"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/wire/delta"
)

// retryNames are the names of the retry policies in the API.
var retryNames = map[balancer.RetryPolicy]string{
	balancer.RetryNever:         "none",
	balancer.RetryIfNotExecuted: "proof",
	balancer.RetryOnce:          "failure",
	balancer.RetryTwice:         "twice",
}

// Answer sends the response to a parked poll. It implements longpoll.Handler.
func (f *Frontend) Answer(id longpoll.PollID, answer *longpoll.Answer) {
	conn := f.takePoll(id)
	if conn == nil {
		return
	}
	if len(answer.Classes) == 0 {
		f.respond(conn, response{status: http.StatusNoContent})
		f.handleRequests(conn)
		return
	}
	f.setTables(answer)
	var err error
	f.body, err = delta.Append(f.body[:0], conn.mediaType, &f.tables)
	if err != nil { // not expected, since all numbers are finite
		f.respondProblem(conn, http.StatusInternalServerError, "internal", 0, "%v", err)
		return
	}
	f.respond(conn, response{
		status:       http.StatusOK,
		mediaType:    conn.mediaType,
		extraHeaders: fmt.Sprintf("Snowquay-Version: %x.%d\r\n", answer.Epoch, answer.Version),
		body:         f.body,
	})
	f.handleRequests(conn)
}

// setTables sets the tables that are sent from an answer.
func (f *Frontend) setTables(answer *longpoll.Answer) {
	f.tables.Epoch = strconv.FormatUint(answer.Epoch, 16)
	f.tables.Version = answer.Version
	f.tables.Base = answer.Base
	f.tables.PollWithin = answer.PollWithin
	f.tables.OwnershipEpoch = answer.OwnershipEpoch
	f.tables.Classes = f.tables.Classes[:0]
	for _, class := range answer.Classes {
		f.appendClass(class)
	}
}

// appendClass appends a class to the tables. It reuses the memory of the entries that an earlier answer had in this
// position.
func (f *Frontend) appendClass(class longpoll.Class) {
	count := len(f.tables.Classes)
	f.tables.Classes = slices.Grow(f.tables.Classes, 1)[:count+1]
	added := &f.tables.Classes[count]
	*added = delta.Class{Class: f.classNames[class.Class], Full: class.Full, Entries: added.Entries[:0]}
	if added.Entries == nil {
		added.Entries = []delta.Entry{} // nil would be encoded as null
	}
	for _, entry := range class.Entries {
		added.Entries = append(added.Entries,
			delta.Entry{Server: string(entry.Server), Weight: entry.Weight, Draining: entry.Draining})
	}
	if !class.HasAdmission {
		return
	}
	added.Admission = &class.Admission
	added.Retry = retryNames[class.Retry]
	if class.RetryAfter > 0 {
		added.RetryAfter = &class.RetryAfter
	}
}
