package service

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"snowquay/internal/consensus"
	"snowquay/internal/core/authz"
	"snowquay/internal/settings"
)

// adminCallTimeout limits a call of the command line. It is longer than agreement on a drain may take.
const adminCallTimeout = 45 * time.Second

var (
	// ErrNoAdminAddress reports settings without an administration API.
	ErrNoAdminAddress = errors.New("the settings have no <listen admin>")
	// ErrNoCaller reports settings in which no caller has the role that a call needs.
	ErrNoCaller = errors.New("the settings have no caller who may do that")
)

// AdminError is the answer of an administration API that has rejected a call.
type AdminError struct {
	Status string // HTTP status code and text
	Detail string // of the problem document; empty if there was none
}

// Error implements error.
func (e *AdminError) Error() string { return e.Status + ": " + e.Detail }

// CallAdmin calls the administration API of a coordinator with the credential of the first caller in its settings who has the
// role. body is sent as JSON, or as it is if it is a []byte; nil: nothing is sent. The result is the JSON document of the answer.
// A rejected call returns an *AdminError.
func CallAdmin(config *settings.Coordinator, role authz.Role, method, path string, body any) (json.RawMessage, error) {
	return callAdmin(config.Admin, config.Callers, role, method, path, body)
}

// CallHostAdmin calls the administration API of a host of many tenants as CallAdmin calls that of a coordinator.
func CallHostAdmin(config *settings.Host, role authz.Role, method, path string, body any) (json.RawMessage, error) {
	return callAdmin(config.Admin, config.Callers, role, method, path, body)
}

func callAdmin(
	address netip.AddrPort, callers []authz.Credential, role authz.Role, method, path string, body any,
) (json.RawMessage, error) {
	if !address.IsValid() {
		return nil, ErrNoAdminAddress
	}
	secret := secretForRole(callers, role)
	if secret == "" {
		return nil, ErrNoCaller
	}
	encoded, err := encodeBody(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(method, "http://"+address.String()+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	if method != http.MethodGet {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%x", consensus.RandomID()))
	}
	client := &http.Client{Timeout: adminCallTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	document, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, rejection(response.Status, document)
	}
	return document, nil
}

// secretForRole returns the secret of the first caller who has at least a role; empty if there is none.
func secretForRole(callers []authz.Credential, role authz.Role) string {
	for _, caller := range callers {
		if caller.Role >= role && caller.Secret != "" {
			return caller.Secret
		}
	}
	return ""
}

func encodeBody(body any) ([]byte, error) {
	switch body := body.(type) {
	case nil:
		return nil, nil
	case []byte:
		return body, nil
	default:
		return json.Marshal(body)
	}
}

func rejection(status string, document []byte) *AdminError {
	var problem struct {
		Detail string `json:"detail"`
	}
	_ = json.Unmarshal(document, &problem) // an answer that is no problem document has no detail
	return &AdminError{Status: status, Detail: problem.Detail}
}

// EscapePathSegment escapes a server name for use as one segment of a path.
func EscapePathSegment(name string) string { return url.PathEscape(name) }
