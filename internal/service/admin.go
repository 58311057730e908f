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

const callWithin = 45 * time.Second // of the command line's calls: longer than a drain may take to be agreed on

// CallAdmin makes a call of the administration API that a settings file names, by the first of its callers with at least a role.
// What comes back is a JSON document; an error has the problem's words.
func CallAdmin(c *settings.Coordinator, needs authz.Role, method, path string, body any) (json.RawMessage, error) {
	return call(c.Admin, c.Callers, needs, method, path, body)
}

// CallHostAdmin is Call of a host of many tenants. A body of bytes is sent as it is.
func CallHostAdmin(c *settings.Host, needs authz.Role, method, path string, body any) (json.RawMessage, error) {
	return call(c.Admin, c.Callers, needs, method, path, body)
}

func call(admin netip.AddrPort, callers []authz.Credential, needs authz.Role, method, path string, body any) (json.RawMessage, error) {
	if !admin.IsValid() {
		return nil, errors.New("the settings have no <listen admin>")
	}
	key := ""
	for _, x := range callers {
		if x.Role >= needs && key == "" {
			key = x.Secret
		}
	}
	if key == "" {
		return nil, errors.New("the settings have no caller who may do that")
	}
	var b []byte
	if text, whole := body.([]byte); whole {
		b = text
	} else if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	r, err := http.NewRequest(method, "http://"+admin.String()+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	if method != http.MethodGet {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%x", consensus.RandomID()))
	}
	answer, err := (&http.Client{Timeout: callWithin}).Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode >= 300 {
		var p struct {
			Detail string `json:"detail"`
		}
		_ = json.Unmarshal(text, &p) // what is no problem document has no detail
		return nil, fmt.Errorf("%s: %s", answer.Status, p.Detail)
	}
	return text, nil
}

// Escape makes a server's name part of a path.
func Escape(name string) string { return url.PathEscape(name) }
