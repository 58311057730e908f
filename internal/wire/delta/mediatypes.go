package delta

import "strings"

// The media types of answers.
const (
	JSON             = "application/json"
	CBOR             = "application/cbor"
	ProblemMediaType = "application/problem+json" // of problem documents
)

// NegotiateMediaType picks the media type of tables for an Accept header; ok is false if the header allows none.
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
