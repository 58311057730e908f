package delta

// Problem is a problem document (RFC 9457).
type Problem struct {
	Type       string  `json:"type"` // a URI that identifies the kind of problem
	Title      string  `json:"title"`
	Status     int     `json:"status"` // HTTP status code
	Detail     string  `json:"detail,omitempty"`
	RetryAfter float64 `json:"retry-after,omitempty"` // seconds after which the client may retry
}
