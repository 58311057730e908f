package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"snowquay/internal/core/tablecheck"
)

const (
	contentJSON    = "application/json"
	contentXML     = "application/xml"
	contentProblem = "application/problem+json"
)

// maxFindings limits the reasons in a response.
const maxFindings = 500

// problem is a problem document (RFC 9457). Its fields are in the order of their JSON keys.
type problem struct {
	Detail string `json:"detail"`
	Status int    `json:"status"`
	Title  string `json:"title"`
	Type   string `json:"type"`
}

// writeProblem responds with a problem document.
func writeProblem(w http.ResponseWriter, status int, format string, args ...any) {
	w.Header().Set("Content-Type", contentProblem)
	w.WriteHeader(status)
	document := problem{
		Detail: fmt.Sprintf(format, args...),
		Status: status,
		Title:  http.StatusText(status),
		Type:   "about:blank",
	}
	_ = json.NewEncoder(w).Encode(document) // a client that has disconnected needs no response
}

// writeJSON responds with a value in JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil { // not expected, since all numbers are finite
		writeProblem(w, http.StatusInternalServerError, "%v", err)
		return
	}
	writeBody(w, status, contentJSON, body)
}

func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that has disconnected needs no response
}

// decodeBody reads the body of a request, decodes it into value and returns it. If that fails, it responds with the error and ok
// is false.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) (body []byte, ok bool) {
	body, ok = readBody(w, r)
	if !ok {
		return nil, false
	}
	err := decodeStrictly(body, value)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "%v", err)
		return nil, false
	}
	return body, true
}

// decodeStrictly decodes a body that must consist of one JSON value without unknown fields.
func decodeStrictly(body []byte, value any) error {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

// findingTexts returns the texts of the first maxFindings reasons.
func findingTexts(findings []tablecheck.Finding) []string {
	texts := []string{} // not nil, so that no reasons are [] in JSON
	for _, finding := range findings[:min(len(findings), maxFindings)] {
		texts = append(texts, finding.String())
	}
	return texts
}

// harmError is returned for a change that would do harm. It lists the reasons.
type harmError struct {
	reasons []string
}

func (e *harmError) Error() string {
	return "the change would do harm: " + strings.Join(e.reasons, "; ")
}
