package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/idempotency"
	"snowquay/internal/core/tenancy"
)

const (
	maxFollowWait      = 30 * time.Second
	drainCheckInterval = 50 * time.Millisecond // between two checks of a drain that is followed
)

// errAgreementTimeout reports that a change was not agreed on within agreementTimeout.
var errAgreementTimeout = errors.New("it was not agreed on in time; it may still come true: call again with the same key")

// drainRow is the progress of a drain in an answer.
type drainRow struct {
	Server     balancer.Server `json:"server"`
	Phase      string          `json:"phase"`
	NotifiedAt float64         `json:"told,omitempty"` // clock time in seconds; 0: no drain is ordered
	Joined     int             `json:"proxies"`
	Updated    int             `json:"proxies-without"` // of the joined proxies, those known to hold tables without the server
	Pending    []string        `json:"waiting,omitempty"`
	Done       bool            `json:"done"` // none of this coordinator's proxies sends to the server any more
}

// drainRequest is the body of the order of a drain.
type drainRequest struct {
	Server   balancer.Server `json:"server"`
	On       bool            `json:"on"`    // false: the drain is to end
	Force    bool            `json:"force"` // also if it would do harm
	LoseZone bool            `json:"lose-zone"`
}

// drainCall is the order of a drain with what it needs besides its body.
type drainCall struct {
	call
	drainRequest
	key         string // idempotency key; empty: none
	fingerprint uint64 // of the body
	ifMatch     string
}

// drainAttempt is the result of the checks of the order of a drain.
type drainAttempt struct {
	repeated bool                 // the call was made before,
	response idempotency.Response // and had this response
	status   int                  // of the answer if err is not nil
	err      error
}

// drainProgress returns how far the drain of a server has got; ok is false if the server is not known.
func (a *API) drainProgress(name tenancy.Name, server balancer.Server) (row drainRow, ok bool) {
	a.program.Do(func(float64) {
		fleet, running := a.program.Fleet(name)
		if !running {
			return
		}
		var progress controlplane.DrainProgress
		progress, ok = fleet.DrainProgress(server)
		if !ok {
			return
		}
		row = drainRow{
			Server:     server,
			Phase:      phaseNames[progress.Phase],
			NotifiedAt: progress.NotifiedAt,
			Joined:     progress.Joined,
			Updated:    progress.Updated,
			Pending:    progress.Pending,
			Done:       progress.Phase != balancer.Ready && progress.Updated == progress.Joined,
		}
	})
	return row, ok
}

// followDrain says how far a drain has got. With ?wait=SECONDS it answers when the drain is done or that time is over.
func (a *API) followDrain(w http.ResponseWriter, r *http.Request, c call) {
	waitText := r.URL.Query().Get("wait")
	wait, ok := followWait(waitText)
	if !ok {
		writeProblem(w, http.StatusBadRequest, "wait=%.40q is no time", waitText)
		return
	}
	server := balancer.Server(r.PathValue("server"))
	deadline := time.Now().Add(wait)
	for {
		row, ok := a.drainProgress(c.tenant, server)
		if !ok {
			writeProblem(w, http.StatusNotFound, "no server %q is known", server)
			return
		}
		if row.Done || row.NotifiedAt == 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			writeJSON(w, http.StatusOK, row)
			return
		}
		time.Sleep(drainCheckInterval)
	}
}

// followWait returns how long a call may wait, by its parameter; ok is false if that is no time.
func followWait(text string) (wait time.Duration, ok bool) {
	if text == "" {
		return 0, true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) {
		return 0, false
	}
	return time.Duration(min(seconds, maxFollowWait.Seconds()) * float64(time.Second)), true
}

// drain orders a drain, or its end. It answers when the order is agreed on and durable; followDrain says what comes of it.
func (a *API) drain(w http.ResponseWriter, r *http.Request, c call) {
	order := drainCall{call: c, key: r.Header.Get("Idempotency-Key"), ifMatch: r.Header.Get("If-Match")}
	body, ok := decodeBody(w, r, &order.drainRequest)
	if !ok {
		return
	}
	order.fingerprint = xxhash.Sum64(body)
	agreed := make(chan bool, 1) // the send must not block if nobody waits any more
	var attempt drainAttempt
	ok = a.withFleet(w, c, func(now float64, fleet *controlplane.Fleet) {
		attempt = a.beginDrain(now, fleet, order, agreed)
	})
	switch {
	case !ok:
	case attempt.repeated:
		writeBody(w, attempt.response.Status, contentJSON, attempt.response.Body)
	case attempt.err != nil:
		writeProblem(w, attempt.status, "%v", attempt.err)
	default:
		a.finishDrain(w, order, agreed)
	}
}

// beginDrain checks the order of a drain and, if nothing speaks against it, gives it to the program, which reports on agreed. It
// is called within Program.Do.
func (a *API) beginDrain(now float64, fleet *controlplane.Fleet, order drainCall, agreed chan<- bool) drainAttempt {
	responses := &a.history(order.tenant).responses
	response, repeated, err := responses.Begin(now, order.caller.Name, order.key, order.fingerprint)
	if repeated {
		return drainAttempt{repeated: true, response: response}
	}
	if errors.Is(err, idempotency.ErrInProgress) {
		return drainAttempt{status: http.StatusConflict, err: err}
	}
	if err != nil {
		return drainAttempt{status: http.StatusUnprocessableEntity, err: err}
	}
	status, err := checkDrain(now, fleet, order)
	if err != nil {
		responses.End(order.caller.Name, order.key, idempotency.Response{}, false)
		a.recordDrain(now, order, "refused: "+err.Error())
		return drainAttempt{status: status, err: err}
	}
	a.program.Drain(now, order.tenant, order.Server, order.On, func(ok bool) { agreed <- ok })
	return drainAttempt{}
}

// checkDrain returns why the order of a drain is rejected, and the status of the answer.
func checkDrain(now float64, fleet *controlplane.Fleet, order drainCall) (status int, err error) {
	_, known := fleet.Registry.Find(order.Server)
	if !known {
		return http.StatusNotFound, fmt.Errorf("no server %q is known", order.Server)
	}
	err = idempotency.CheckVersion(order.ifMatch, registryTag(fleet))
	if err != nil {
		return http.StatusPreconditionFailed, err
	}
	if !order.On || order.Force {
		return 0, nil
	}
	findings := fleet.Preview(now, []balancer.Server{order.Server}, order.LoseZone)
	if len(findings) > 0 {
		return http.StatusConflict, &harmError{reasons: findingTexts(findings)}
	}
	return 0, nil
}

// finishDrain waits for agreement on the order of a drain, and answers.
func (a *API) finishDrain(w http.ResponseWriter, order drainCall, agreed <-chan bool) {
	ok := false
	select {
	case ok = <-agreed:
	case <-time.After(agreementTimeout):
	}
	var row drainRow
	result := "not agreed in time"
	if ok {
		row, _ = a.drainProgress(order.tenant, order.Server)
		result = "agreed"
	}
	body, _ := json.Marshal(row) // all numbers are finite
	a.program.Do(func(now float64) {
		response := idempotency.Response{Status: http.StatusAccepted, Body: body}
		a.history(order.tenant).responses.End(order.caller.Name, order.key, response, ok)
		a.recordDrain(now, order, result)
	})
	if !ok {
		w.Header().Set("Retry-After", "1")
		writeProblem(w, http.StatusServiceUnavailable, "%v", errAgreementTimeout)
		return
	}
	writeBody(w, http.StatusAccepted, contentJSON, body)
}

func (a *API) recordDrain(now float64, order drainCall, result string) {
	action := "drain"
	if !order.On {
		action = "end of a drain"
	}
	if order.Force {
		action += " by force"
	}
	a.recordChange(now, change{
		caller: order.caller,
		tenant: order.tenant,
		action: action,
		object: string(order.Server),
		result: result,
	})
}
