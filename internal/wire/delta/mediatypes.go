package delta

import "strings"

// Media types of responses.
const (
	JSON             = "application/json"
	CBOR             = "application/cbor"
	ProblemMediaType = "application/problem+json" // problem documents
)

// NegotiateMediaType returns the media type in which to send tables, by the Accept header of the request; ok is false
// if the header accepts neither JSON nor CBOR.
func NegotiateMediaType(header string) (mediaType string, ok bool) {
	if strings.TrimSpace(header) == "" {
		return JSON, true
	}
	for accepted := range strings.SplitSeq(header, ",") {
		mediaRange, parameters, _ := strings.Cut(strings.TrimSpace(accepted), ";")
		refused := strings.Contains(strings.ReplaceAll(parameters, " ", "")+";", "q=0;")
		if refused {
			continue
		}
		switch strings.ToLower(strings.TrimSpace(mediaRange)) {
		case JSON, "*/*", "application/*":
			return JSON, true
		case CBOR:
			return CBOR, true
		}
	}
	return "", false
}
