package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against many callers that each stop half way through a large body: together they may not take more than the budget.
func TestBodiesOfAllRequestsAreBounded(t *testing.T) {
	var budget bodyBudget
	send := func(size int) (status int, release func()) {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(neverEnding('x'), int64(size)))
		body := budget.limit(recorder, request)
		if _, ok := readBody(recorder, request); ok {
			return http.StatusOK, body.release
		}
		return recorder.Code, body.release
	}
	var releases []func()
	for range totalBodyBytes / maxBodyBytes {
		status, release := send(maxBodyBytes)
		if status != http.StatusOK {
			t.Fatalf("status %d within the budget", status)
		}
		releases = append(releases, release)
	}
	status, release := send(1000)
	if status != http.StatusServiceUnavailable {
		t.Errorf("status %d beyond the budget, want 503", status)
	}
	release()
	for _, release := range releases {
		release()
	}
	if status, release := send(maxBodyBytes + 1); status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a body that is too large, want 413", status)
	} else {
		release()
	}
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes of the budget are in use after all requests have been handled", used)
	}
}

// neverEnding is a reader that repeats a byte.
type neverEnding byte

func (b neverEnding) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat(string(b), len(p))), nil
}
