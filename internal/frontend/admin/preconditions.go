package admin

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"snowquay/internal/core/authz"
	"snowquay/internal/core/tenancy"
)

// preconditions are the headers If-Match and If-None-Match of a request (RFC 9110, section 13.1).
type preconditions struct {
	version    tenancy.Version // version that the tenant must have; 0: any
	mustCreate bool            // the tenant must not exist
}

func parsePreconditions(r *http.Request) (preconditions, error) {
	var parsed preconditions
	switch r.Header.Get("If-None-Match") {
	case "":
	case "*":
		parsed.mustCreate = true
	default:
		return preconditions{}, errors.New("If-None-Match: only * is supported")
	}
	ifMatch := r.Header.Get("If-Match")
	if ifMatch == "" || ifMatch == "*" {
		return parsed, nil
	}
	text, err := strconv.Unquote(ifMatch)
	if err != nil {
		return preconditions{}, errors.New("If-Match: not a valid ETag")
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return preconditions{}, errors.New("If-Match: not the ETag of a version of a tenant")
	}
	parsed.version = tenancy.Version(version)
	return parsed, nil
}

// commandID returns an ID of a request, derived from its caller and idempotency key. It is 0 if there is no key: such a request is
// carried out each time that it is received.
func commandID(r *http.Request, caller authz.Principal) uint64 {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(string(caller.Tenant)+"\x00"+caller.Name+"\x00"+key), 1)
}

// requestFingerprint returns a hash of the contents of a request, so that its idempotency key can't be reused for another request.
func requestFingerprint(r *http.Request, body []byte) uint64 {
	digest := xxhash.New()
	ifMatch := r.Header.Get("If-Match")
	ifNoneMatch := r.Header.Get("If-None-Match")
	for _, part := range []string{r.Method, r.URL.Path, r.URL.RawQuery, ifMatch, ifNoneMatch} {
		_, _ = digest.WriteString(part + "\x00") // writing to a hash never fails
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
