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
	drainCheckInterval = 50 * time.Millisecond // interval between checks of a drain that a call follows
)

// errAgreementTimeout is returned if a change was not agreed on within agreementTimeout.
var errAgreementTimeout = errors.New("the change was not agreed on in time and may still take effect: repeat the call with the same idempotency key")

// drainRow is the progress of a drain in a response.
type drainRow struct {
	Server     balancer.Server `json:"server"`
	Phase      string          `json:"phase"`
	NotifiedAt float64         `json:"told,omitempty"` // clock time in seconds at which the drain or removal became known; 0: no drain is ordered
	Joined     int             `json:"proxies"`
	Updated    int             `json:"proxies-without"` // number of joined proxies that are known to hold tables without the server
	Pending    []string        `json:"waiting,omitempty"`
	Done       bool            `json:"done"` // no proxy of this coordinator sends requests to the server any more
}

// drainRequest is the body of a call that orders a drain.
type drainRequest struct {
	Server   balancer.Server `json:"server"`
	On       bool            `json:"on"`    // false: end the drain
	Force    bool            `json:"force"` // drain the server even if that would do harm
	LoseZone bool            `json:"lose-zone"`
}

// drainCall is a call that orders a drain: its body, caller, tenant and headers.
type drainCall struct {
	call
	drainRequest
	key         string // idempotency key; empty: none
	fingerprint uint64 // hash of the body
	ifMatch     string
}

// drainAttempt is the result of the checks of a call that orders a drain.
type drainAttempt struct {
	repeated bool                 // the call repeats an earlier one
	response idempotency.Response // response to the earlier call if repeated
	status   int                  // HTTP status of the response if err is not nil
	err      error
}

// drainProgress returns the progress of the drain of a server; ok is false if the server is not known.
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

// followDrain responds with the progress of a drain. With ?wait=SECONDS it responds when the drain is done or that time has passed.
func (a *API) followDrain(w http.ResponseWriter, r *http.Request, c call) {
	waitText := r.URL.Query().Get("wait")
	wait, ok := followWait(waitText)
	if !ok {
		writeProblem(w, http.StatusBadRequest, "wait=%.40q is not a valid number of seconds", waitText)
		return
	}
	server := balancer.Server(r.PathValue("server"))
	deadline := time.Now().Add(wait)
	for {
		row, ok := a.drainProgress(c.tenant, server)
		if !ok {
			writeProblem(w, http.StatusNotFound, "unknown server %q", server)
			return
		}
		if row.Done || row.NotifiedAt == 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			writeJSON(w, http.StatusOK, row)
			return
		}
		time.Sleep(drainCheckInterval)
	}
}

// followWait parses the time that a call may wait, which is limited to maxFollowWait; ok is false if text is not a valid time.
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

// drain orders a drain or the end of one. It responds when the order has been agreed on and is durable; followDrain shows the
// progress.
func (a *API) drain(w http.ResponseWriter, r *http.Request, c call) {
	request := drainCall{call: c, key: r.Header.Get("Idempotency-Key"), ifMatch: r.Header.Get("If-Match")}
	body, ok := decodeBody(w, r, &request.drainRequest)
	if !ok {
		return
	}
	request.fingerprint = xxhash.Sum64(body)
	agreed := make(chan bool, 1) // buffered, so that the send does not block after a timeout
	var attempt drainAttempt
	ok = a.withFleet(w, c, func(now float64, fleet *controlplane.Fleet) {
		attempt = a.beginDrain(now, fleet, request, agreed)
	})
	switch {
	case !ok:
	case attempt.repeated:
		writeBody(w, attempt.response.Status, contentJSON, attempt.response.Body)
	case attempt.err != nil:
		writeProblem(w, attempt.status, "%v", attempt.err)
	default:
		a.finishDrain(w, request, agreed)
	}
}

// beginDrain checks a call that orders a drain and, if it passes, gives the order to the program, which reports the outcome on
// agreed. It must be called within Program.Do.
func (a *API) beginDrain(now float64, fleet *controlplane.Fleet, request drainCall, agreed chan<- bool) drainAttempt {
	responses := &a.history(request.tenant).responses
	response, repeated, err := responses.Begin(now, request.caller.Name, request.key, request.fingerprint)
	if repeated {
		return drainAttempt{repeated: true, response: response}
	}
	if errors.Is(err, idempotency.ErrInProgress) {
		return drainAttempt{status: http.StatusConflict, err: err}
	}
	if err != nil {
		return drainAttempt{status: http.StatusUnprocessableEntity, err: err}
	}
	status, err := checkDrain(now, fleet, request)
	if err != nil {
		responses.End(request.caller.Name, request.key, idempotency.Response{}, false)
		a.recordDrain(now, request, "refused: "+err.Error())
		return drainAttempt{status: status, err: err}
	}
	a.program.Drain(now, request.tenant, request.Server, request.On, func(ok bool) { agreed <- ok })
	return drainAttempt{}
}

// checkDrain returns an error and the HTTP status of the response if a call that orders a drain is rejected.
func checkDrain(now float64, fleet *controlplane.Fleet, request drainCall) (status int, err error) {
	_, known := fleet.Registry.Find(request.Server)
	if !known {
		return http.StatusNotFound, fmt.Errorf("unknown server %q", request.Server)
	}
	err = idempotency.CheckVersion(request.ifMatch, registryTag(fleet))
	if err != nil {
		return http.StatusPreconditionFailed, err
	}
	if !request.On || request.Force {
		return 0, nil
	}
	findings := fleet.Preview(now, []balancer.Server{request.Server}, request.LoseZone)
	if len(findings) > 0 {
		return http.StatusConflict, &harmError{reasons: findingTexts(findings)}
	}
	return 0, nil
}

// finishDrain waits until the order of a drain is agreed on, and responds.
func (a *API) finishDrain(w http.ResponseWriter, request drainCall, agreed <-chan bool) {
	ok := false
	select {
	case ok = <-agreed:
	case <-time.After(agreementTimeout):
	}
	var row drainRow
	result := "not agreed in time"
	if ok {
		row, _ = a.drainProgress(request.tenant, request.Server)
		result = "agreed"
	}
	body, _ := json.Marshal(row) // all numbers are finite
	a.program.Do(func(now float64) {
		response := idempotency.Response{Status: http.StatusAccepted, Body: body}
		a.history(request.tenant).responses.End(request.caller.Name, request.key, response, ok)
		a.recordDrain(now, request, result)
	})
	if !ok {
		w.Header().Set("Retry-After", "1")
		writeProblem(w, http.StatusServiceUnavailable, "%v", errAgreementTimeout)
		return
	}
	writeBody(w, http.StatusAccepted, contentJSON, body)
}

func (a *API) recordDrain(now float64, request drainCall, result string) {
	action := "drain"
	if !request.On {
		action = "end of a drain"
	}
	if request.Force {
		action += " by force"
	}
	a.recordChange(now, change{
		caller: request.caller,
		tenant: request.tenant,
		action: action,
		object: string(request.Server),
		result: result,
	})
}
