package admin

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	maxBodyBytes    = 1 << 20          // limit for the body of a request
	totalBodyBytes  = 16 << 20         // limit for the bodies of all requests together
	bodyReadTimeout = 10 * time.Second // limit for a client to send the body of its request
)

// errBodiesFull is returned by the body of a request while the bodies of all requests together exceed totalBodyBytes.
var errBodiesFull = errors.New("too many request bodies are being received; retry later")

// bodyBudget limits the bytes of the bodies of all requests that are being handled. The zero value is ready to use.
type bodyBudget struct{ used atomic.Int64 }

// budgetedBody is the body of a request whose bytes count towards a budget until release.
type budgetedBody struct {
	io.ReadCloser
	budget *bodyBudget
	taken  int64
}

// limit replaces the body of a request by one that obeys all limits. The caller must release it when the request has been
// handled.
func (b *bodyBudget) limit(w http.ResponseWriter, r *http.Request) *budgetedBody {
	deadline := time.Now().Add(bodyReadTimeout)
	_ = http.NewResponseController(w).SetReadDeadline(deadline) // not supported by the recorders of tests, which do not block
	body := &budgetedBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBodyBytes), budget: b}
	r.Body = body
	return body
}

// Read implements io.Reader.
func (b *budgetedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.taken += int64(n)
	if b.budget.used.Add(int64(n)) > totalBodyBytes {
		return n, errBodiesFull
	}
	return n, err
}

func (b *budgetedBody) release() { b.budget.used.Add(-b.taken) }

// readBody reads the body of a request. If that fails, it responds with the error and ok is false.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // the call itself may take longer than its body
		return body, true
	case errors.As(err, &tooLarge):
		writeProblem(w, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", maxBodyBytes)
	case errors.Is(err, errBodiesFull):
		setRetryAfter(w, bodyReadTimeout.Seconds())
		writeProblem(w, http.StatusServiceUnavailable, "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		writeProblem(w, http.StatusRequestTimeout, "the body was not received within %v", bodyReadTimeout)
	default:
		writeProblem(w, http.StatusBadRequest, "%v", err)
	}
	return nil, false
}
