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

// adminCallTimeout limits an administration call of the command line. It is longer than the time that a group may
// take to commit a drain.
const adminCallTimeout = 45 * time.Second

var (
	// ErrNoAdminAddress is returned for settings that configure no administration API.
	ErrNoAdminAddress = errors.New("no administration API is configured: the settings have no <listen admin>")
	// ErrNoCaller is returned for settings in which no caller has the role that a call requires.
	ErrNoCaller = errors.New("no caller in the settings has the role that this call requires")
)

// AdminError is the error response of an administration API to a rejected call.
type AdminError struct {
	Status string // HTTP status code and text
	Detail string // detail of the problem document; empty if the response has none
}

// Error implements error.
func (e *AdminError) Error() string { return e.Status + ": " + e.Detail }

// CallAdmin calls the administration API of a coordinator with the credential of the first caller in its settings who
// has the role. body is encoded as JSON unless it is a []byte, which is sent unchanged; if it is nil, the request has
// no body. The result is the JSON document of the response. A rejected call returns an *AdminError.
func CallAdmin(config *settings.Coordinator, role authz.Role, method, path string, body any) (json.RawMessage, error) {
	return callAdmin(config.Admin, config.Callers, role, method, path, body)
}

// CallHostAdmin is like CallAdmin, but calls the administration API of a host of many tenants.
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
		return nil, newAdminError(response.Status, document)
	}
	return document, nil
}

// secretForRole returns the secret of the first caller with at least the given role, or an empty string if there is
// none.
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

// newAdminError returns the error for a response with an error status. document is the body of the response.
func newAdminError(status string, document []byte) *AdminError {
	var problem struct {
		Detail string `json:"detail"`
	}
	_ = json.Unmarshal(document, &problem) // Detail stays empty if the body is not a problem document
	return &AdminError{Status: status, Detail: problem.Detail}
}

// EscapePathSegment escapes a server name for use as one segment of a URL path.
func EscapePathSegment(name string) string { return url.PathEscape(name) }
